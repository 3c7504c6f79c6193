#include "adapters/log/http_log_client.hpp"
#include "scripted_server.hpp"

#include <boost/endian/conversion.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;
using log_client::http_log_client;
using kind = scripted_answer::kind;
using offset_pair = std::pair<std::uint64_t, std::uint64_t>;

std::string frame(std::uint64_t offset, std::string bytes)
{
    unsigned char header[12];
    boost::endian::store_little_u64(header, offset);
    boost::endian::store_little_u32(
        header + 8, static_cast<std::uint32_t>(bytes.size()));
    return std::string(reinterpret_cast<char*>(header), sizeof(header)) + bytes;
}

scripted_answer status_answer(int first, int next)
{
    return {
        kind::answer,
        200,
        "{\"first_offset\":" + std::to_string(first) +
            ",\"next_offset\":" + std::to_string(next) + "}"};
}

bool asks(const scripted_server::request& request, std::string_view path)
{
    const std::string target(request.target());
    return target.starts_with(path);
}

class recording_listener : public log_listener
{
public:
    void log_opened(log_offset first, log_offset next, bool trimmed) override
    {
        this->opened.push_back({first.value, next.value});
        this->was_trimmed = trimmed;
    }

    void entries_read(std::vector<log_entry> entries, log_offset next) override
    {
        for (const log_entry& entry : entries)
            this->offsets.push_back(entry.offset.value);
        this->end = next;
    }

    void oldest_offset_read(log_offset first) override
    {
        this->kept = first;
    }

    void log_failed(log_fault fault) override
    {
        this->faults.push_back(fault);
    }

    void append_answered(std::uint64_t batch, append_outcome outcome) override
    {
        this->appended.push_back({batch, outcome});
    }

    std::vector<offset_pair> opened;
    bool was_trimmed = false;
    std::vector<std::uint64_t> offsets;
    log_offset end;
    log_offset kept;
    std::vector<log_fault> faults;
    std::vector<std::pair<std::uint64_t, append_outcome>> appended;
};

/// A client against a scripted log.
struct log_bench
{
    explicit log_bench(
        scripted_server::script script,
        const http_log_client::options& settings = options())
        : server(context, std::move(script))
        , client(context.get_executor(), server.endpoint(), settings, meter)
    {
    }

    ~log_bench()
    {
        this->client.stop();
        this->server.stop();
        this->context.restart();
        this->context.run_for(1s);
    }

    static http_log_client::options options()
    {
        http_log_client::options result;
        result.poll_wait = 50ms;
        result.append_timeout = 300ms;
        result.retry_min = 1ms;
        result.retry_max = 5ms;
        return result;
    }

    bool until(const std::function<bool()>& condition)
    {
        return run_until(this->context, condition);
    }

    std::optional<append_outcome> append()
    {
        this->client.start(this->listener);
        append_batch batch;
        batch.batch = 5;
        batch.entries = {{std::byte{1}}};
        this->client.append(std::move(batch));
        this->until(
            [this]
            {
                return !this->listener.appended.empty();
            });
        if (this->listener.appended.size() != 1 ||
            this->listener.appended[0].first != 5)
            return {};
        return this->listener.appended[0].second;
    }

    asio::io_context context;
    platform::byte_meter meter;
    recording_listener listener;
    scripted_server server;
    http_log_client client;
};

std::optional<append_outcome> append_against(scripted_answer answer)
{
    log_bench bench(
        [answer](const scripted_server::request& request) -> scripted_answer
        {
            if (asks(request, "/v1/append"))
                return answer;
            return {kind::hold, 200, ""};
        });
    return bench.append();
}

} // namespace

Test(log_client, an_append_is_done_by_a_whole_200_only)
{
    cr_expect(
        append_against({kind::answer, 200, "{}"}) == append_outcome::done);
    cr_expect(
        append_against({kind::cut, 200, "{}"}) == append_outcome::unknown);
}

Test(log_client, an_append_without_an_answer_is_unknown)
{
    cr_expect(
        append_against({kind::close, 200, ""}) == append_outcome::unknown);
    cr_expect(append_against({kind::hold, 200, ""}) == append_outcome::unknown);
    cr_expect(
        append_against({kind::answer, 503, "{}"}) == append_outcome::unknown);
    cr_expect(
        append_against({kind::answer, 500, "{}"}) == append_outcome::unknown);
}

Test(log_client, an_append_that_is_wrong_or_never_left_is_refused)
{
    cr_expect(
        append_against({kind::answer, 400, "{}"}) == append_outcome::refused);
    cr_expect(
        append_against({kind::answer, 413, "{}"}) == append_outcome::refused);

    log_bench bench(
        [](const scripted_server::request&) -> scripted_answer
        {
            return {kind::hold, 200, ""};
        });
    bench.server.stop();
    cr_expect(bench.append() == append_outcome::refused);
}

Test(log_client, appends_go_one_after_another_on_one_connection)
{
    log_bench bench(
        [](const scripted_server::request& request) -> scripted_answer
        {
            if (asks(request, "/v1/append"))
                return {kind::answer, 200, "{}"};
            return {kind::hold, 200, ""};
        });
    bench.client.start(bench.listener);
    for (std::uint64_t batch = 1; batch <= 3; ++batch)
        bench.client.append({batch, {{std::byte(batch)}}});
    cr_assert(bench.until(
        [&]
        {
            return bench.listener.appended.size() == 3;
        }));
    for (std::uint64_t batch = 1; batch <= 3; ++batch)
        cr_expect(bench.listener.appended[batch - 1].first == batch);
    // One for the appends, one for the reads.
    cr_expect(bench.server.connections <= 2);
}

Test(log_client, the_tail_goes_on_after_what_was_delivered)
{
    int reads = 0;
    log_bench bench(
        [&](const scripted_server::request& request) -> scripted_answer
        {
            if (asks(request, "/v1/status"))
                return status_answer(1, 4);
            ++reads;
            if (asks(request, "/v1/read?from=1&"))
                return {kind::answer, 200, frame(1, "a") + frame(2, "b")};
            if (asks(request, "/v1/read?from=3&"))
                return {kind::answer, 200, frame(3, "c")};
            return {kind::hold, 200, ""};
        });
    bench.client.start(bench.listener);
    cr_assert(bench.until(
        [&]
        {
            return !bench.listener.opened.empty();
        }));
    cr_expect(bench.listener.opened[0] == offset_pair(1, 4));
    cr_expect(!bench.listener.was_trimmed);
    bench.client.tail_from(log_offset(1));
    cr_assert(bench.until(
        [&]
        {
            return reads == 3;
        }));
    cr_expect(bench.listener.offsets == std::vector<std::uint64_t>({1, 2, 3}));
    cr_expect(bench.listener.end == log_offset(4));
    cr_expect(bench.listener.faults.empty());
}

Test(log_client, what_the_log_keeps_is_looked_at_now_and_then)
{
    int looks = 0;
    http_log_client::options settings = log_bench::options();
    settings.look = 0ms;
    log_bench bench(
        [&](const scripted_server::request& request) -> scripted_answer
        {
            if (asks(request, "/v1/status"))
                return status_answer(looks++ == 0 ? 1 : 2, 4);
            if (asks(request, "/v1/read?from=3&"))
                return {kind::answer, 200, frame(3, "c")};
            return {kind::hold, 200, ""};
        },
        settings);
    bench.client.start(bench.listener);
    bench.client.tail_from(log_offset(3));
    cr_expect(bench.until(
        [&]
        {
            return bench.listener.kept == log_offset(2);
        }));
    cr_expect(bench.listener.faults.empty());
}

namespace
{

/// A log with an entry for every read, and a client that gathers for longer
/// than any test lasts.
struct gathering_bench : log_bench
{
    explicit gathering_bench(int free_reads = 0)
        : log_bench(
              [this](const scripted_server::request& request)
              {
                  return this->answer_to(request);
              },
              slow_options(free_reads))
    {
        this->client.start(this->listener);
        this->until(
            [this]
            {
                return !this->listener.opened.empty();
            });
        this->client.tail_from(log_offset(1));
    }

    static http_log_client::options slow_options(int free_reads)
    {
        http_log_client::options result = options();
        result.free_reads = free_reads;
        result.gather = 1h;
        result.hurry = 1h;
        return result;
    }

    scripted_answer answer_to(const scripted_server::request& request)
    {
        if (asks(request, "/v1/status"))
            return status_answer(1, 3);
        if (!asks(request, "/v1/append"))
        {
            ++this->reads;
            return {
                kind::answer, 200, frame(static_cast<unsigned>(reads), "x")};
        }
        return {kind::answer, 200, "{\"first_offset\":5,\"count\":1}"};
    }

    bool until_read(std::size_t entries)
    {
        return this->until(
            [this, entries]
            {
                return this->listener.offsets.size() >= entries;
            });
    }

    /// Lets all happen that needs no time.
    void settle()
    {
        constexpr int enough = 2000;
        this->context.restart();
        for (int i = 0; i < enough; ++i)
            this->context.poll_one();
    }

    int reads = 0;
};

} // namespace

// Up to the known end reads follow one another; after it only those that an
// append of its own waits for, and the append's answer tells how far.
Test(log_client, entries_are_gathered_until_an_append_of_its_own)
{
    gathering_bench bench;
    cr_assert(bench.until_read(2));
    bench.settle();
    cr_expect(bench.reads == 2, "%d reads", bench.reads);

    bench.client.append({1, {{std::byte{1}}}});
    cr_assert(bench.until_read(5));
    bench.settle();
    const int reads = bench.reads;
    bench.settle();
    cr_expect(bench.reads == reads, "%d reads", bench.reads);
    cr_expect(bench.listener.appended.size() == 1);
    cr_expect(bench.listener.faults.empty());
}

Test(log_client, the_first_reads_of_a_burst_are_free)
{
    constexpr int free_reads = 3;
    gathering_bench bench(free_reads);
    cr_assert(bench.until_read(2 + free_reads));
    bench.settle();
    cr_expect(bench.reads == 2 + free_reads, "%d reads", bench.reads);
}

Test(log_client, nothing_is_gathered_while_somebody_hurries)
{
    gathering_bench bench;
    cr_assert(bench.until_read(2));
    bench.client.expedite_reads();
    cr_expect(bench.until_read(10));
}

Test(log_client, reading_resumes_after_faults_without_a_gap_or_repeat)
{
    // Each fault once, then the right answer.
    std::vector<scripted_answer> script{
        {kind::close, 200, ""},
        {kind::answer, 503, "{}"},
        {kind::answer, 200, frame(2, "gap")},
        {kind::cut, 200, frame(1, "a")},
        {kind::answer, 200, frame(1, "a")}};
    std::size_t next = 0;
    log_bench bench(
        [&](const scripted_server::request& request) -> scripted_answer
        {
            if (asks(request, "/v1/status"))
                return status_answer(1, 2);
            if (next < script.size())
                return script[next++];
            return {kind::hold, 200, ""};
        });
    bench.client.start(bench.listener);
    cr_assert(bench.until(
        [&]
        {
            return !bench.listener.opened.empty();
        }));
    bench.client.tail_from(log_offset(1));
    cr_assert(bench.until(
        [&]
        {
            return !bench.listener.offsets.empty();
        }));
    cr_expect(bench.listener.offsets == std::vector<std::uint64_t>({1}));
    const std::vector<log_fault> wanted{
        log_fault::unreachable,
        log_fault::unreachable,
        log_fault::malformed,
        log_fault::unreachable};
    cr_expect(bench.listener.faults == wanted);
}

Test(log_client, what_was_forgotten_is_told_and_waits_for_a_new_start)
{
    log_bench bench(
        [](const scripted_server::request& request) -> scripted_answer
        {
            if (asks(request, "/v1/status"))
                return status_answer(1, 9);
            if (asks(request, "/v1/read?from=1&"))
                return {kind::answer, 410, "{\"first_offset\":8}"};
            if (asks(request, "/v1/read?from=8&"))
                return {kind::answer, 200, frame(8, "h")};
            return {kind::hold, 200, ""};
        });
    bench.client.start(bench.listener);
    cr_assert(bench.until(
        [&]
        {
            return !bench.listener.opened.empty();
        }));
    bench.client.tail_from(log_offset(1));
    cr_assert(bench.until(
        [&]
        {
            return bench.listener.was_trimmed;
        }));
    cr_expect(bench.listener.opened[1] == offset_pair(8, 9));
    cr_expect(bench.listener.offsets.empty());
    bench.client.tail_from(log_offset(8));
    cr_assert(bench.until(
        [&]
        {
            return !bench.listener.offsets.empty();
        }));
    cr_expect(bench.listener.offsets[0] == 8);
}

Test(log_client, a_log_that_has_forgotten_its_start_says_so_at_once)
{
    log_bench bench(
        [](const scripted_server::request&) -> scripted_answer
        {
            return status_answer(5, 6);
        });
    bench.client.start(bench.listener);
    cr_assert(bench.until(
        [&]
        {
            return !bench.listener.opened.empty();
        }));
    cr_expect(bench.listener.was_trimmed);
}
