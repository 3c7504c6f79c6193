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
using mode = scripted_answer::mode;
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
        mode::answer,
        200,
        "{\"first_offset\":" + std::to_string(first) +
            ",\"next_offset\":" + std::to_string(next) + "}"};
}

bool has_path(const scripted_server::request& request, std::string_view path)
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

/// A client of a log with scripted answers.
struct log_client_fixture
{
    explicit log_client_fixture(
        scripted_server::script script,
        const http_log_client::options& settings = options())
        : server(context, std::move(script))
        , client(context.get_executor(), server.endpoint(), settings, meter)
    {
    }

    ~log_client_fixture()
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

    bool wait_until(const std::function<bool()>& condition)
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
        this->wait_until(
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

std::optional<append_outcome> append_outcome_for(scripted_answer answer)
{
    log_client_fixture fixture(
        [answer](const scripted_server::request& request) -> scripted_answer
        {
            if (has_path(request, "/v1/append"))
                return answer;
            return {mode::no_answer, 200, ""};
        });
    return fixture.append();
}

} // namespace

Test(log_client, an_append_is_done_after_a_complete_200_only)
{
    cr_expect(
        append_outcome_for({mode::answer, 200, "{}"}) == append_outcome::done);
    cr_expect(
        append_outcome_for({mode::truncate, 200, "{}"}) ==
        append_outcome::unknown);
}

Test(log_client, an_append_without_an_answer_is_unknown)
{
    cr_expect(
        append_outcome_for({mode::disconnect, 200, ""}) ==
        append_outcome::unknown);
    cr_expect(
        append_outcome_for({mode::no_answer, 200, ""}) ==
        append_outcome::unknown);
    cr_expect(
        append_outcome_for({mode::answer, 503, "{}"}) ==
        append_outcome::unknown);
    cr_expect(
        append_outcome_for({mode::answer, 500, "{}"}) ==
        append_outcome::unknown);
}

Test(log_client, an_append_that_is_invalid_or_was_not_sent_is_refused)
{
    cr_expect(
        append_outcome_for({mode::answer, 400, "{}"}) ==
        append_outcome::refused);
    cr_expect(
        append_outcome_for({mode::answer, 413, "{}"}) ==
        append_outcome::refused);

    log_client_fixture fixture(
        [](const scripted_server::request&) -> scripted_answer
        {
            return {mode::no_answer, 200, ""};
        });
    fixture.server.stop();
    cr_expect(fixture.append() == append_outcome::refused);
}

Test(log_client, appends_are_sent_in_order_on_one_connection)
{
    log_client_fixture fixture(
        [](const scripted_server::request& request) -> scripted_answer
        {
            if (has_path(request, "/v1/append"))
                return {mode::answer, 200, "{}"};
            return {mode::no_answer, 200, ""};
        });
    fixture.client.start(fixture.listener);
    for (std::uint64_t batch = 1; batch <= 3; ++batch)
        fixture.client.append({batch, {{std::byte(batch)}}});
    cr_assert(fixture.wait_until(
        [&]
        {
            return fixture.listener.appended.size() == 3;
        }));
    for (std::uint64_t batch = 1; batch <= 3; ++batch)
        cr_expect(fixture.listener.appended[batch - 1].first == batch);
    // One connection for the appends and one for the reads.
    cr_expect(fixture.server.connections <= 2);
}

Test(log_client, reading_continues_after_the_delivered_entries)
{
    int reads = 0;
    log_client_fixture fixture(
        [&](const scripted_server::request& request) -> scripted_answer
        {
            if (has_path(request, "/v1/status"))
                return status_answer(1, 4);
            ++reads;
            if (has_path(request, "/v1/read?from=1&"))
                return {mode::answer, 200, frame(1, "a") + frame(2, "b")};
            if (has_path(request, "/v1/read?from=3&"))
                return {mode::answer, 200, frame(3, "c")};
            return {mode::no_answer, 200, ""};
        });
    fixture.client.start(fixture.listener);
    cr_assert(fixture.wait_until(
        [&]
        {
            return !fixture.listener.opened.empty();
        }));
    cr_expect(fixture.listener.opened[0] == offset_pair(1, 4));
    cr_expect(!fixture.listener.was_trimmed);
    fixture.client.tail_from(log_offset(1));
    cr_assert(fixture.wait_until(
        [&]
        {
            return reads == 3;
        }));
    cr_expect(
        fixture.listener.offsets == std::vector<std::uint64_t>({1, 2, 3}));
    cr_expect(fixture.listener.end == log_offset(4));
    cr_expect(fixture.listener.faults.empty());
}

Test(log_client, the_oldest_offset_is_read_at_intervals)
{
    int status_reads = 0;
    http_log_client::options settings = log_client_fixture::options();
    settings.retention_check_interval = 0ms;
    log_client_fixture fixture(
        [&](const scripted_server::request& request) -> scripted_answer
        {
            if (has_path(request, "/v1/status"))
                return status_answer(status_reads++ == 0 ? 1 : 2, 4);
            if (has_path(request, "/v1/read?from=3&"))
                return {mode::answer, 200, frame(3, "c")};
            return {mode::no_answer, 200, ""};
        },
        settings);
    fixture.client.start(fixture.listener);
    fixture.client.tail_from(log_offset(3));
    cr_expect(fixture.wait_until(
        [&]
        {
            return fixture.listener.kept == log_offset(2);
        }));
    cr_expect(fixture.listener.faults.empty());
}

namespace
{

/// A log that returns one entry per read, and a client whose interval between
/// reads is longer than any test.
struct paced_log_fixture : log_client_fixture
{
    explicit paced_log_fixture(int burst_reads = 0)
        : log_client_fixture(
              [this](const scripted_server::request& request)
              {
                  return this->make_answer(request);
              },
              paced_options(burst_reads))
    {
        this->client.start(this->listener);
        this->wait_until(
            [this]
            {
                return !this->listener.opened.empty();
            });
        this->client.tail_from(log_offset(1));
    }

    static http_log_client::options paced_options(int burst_reads)
    {
        http_log_client::options result = options();
        result.burst_reads = burst_reads;
        result.read_interval = 1h;
        result.urgent_period = 1h;
        return result;
    }

    scripted_answer make_answer(const scripted_server::request& request)
    {
        if (has_path(request, "/v1/status"))
            return status_answer(1, 3);
        if (!has_path(request, "/v1/append"))
        {
            ++this->reads;
            return {
                mode::answer, 200, frame(static_cast<unsigned>(reads), "x")};
        }
        return {mode::answer, 200, "{\"first_offset\":5,\"count\":1}"};
    }

    bool wait_until_read(std::size_t entries)
    {
        return this->wait_until(
            [this, entries]
            {
                return this->listener.offsets.size() >= entries;
            });
    }

    /// Runs all handlers that don't wait for a timer.
    void run_ready_handlers()
    {
        constexpr int max_handlers = 2000;
        this->context.restart();
        for (int i = 0; i < max_handlers; ++i)
            this->context.poll_one();
    }

    int reads = 0;
};

} // namespace

// Guards against delayed reads below the known end of the log and before the
// client's own append is read back, and against undelayed reads otherwise. The
// append's answer contains the offset up to which reads aren't delayed.
Test(log_client, reads_are_delayed_until_an_append_of_its_own)
{
    paced_log_fixture fixture;
    cr_assert(fixture.wait_until_read(2));
    fixture.run_ready_handlers();
    cr_expect(fixture.reads == 2, "%d reads", fixture.reads);

    fixture.client.append({1, {{std::byte{1}}}});
    cr_assert(fixture.wait_until_read(5));
    fixture.run_ready_handlers();
    const int reads = fixture.reads;
    fixture.run_ready_handlers();
    cr_expect(fixture.reads == reads, "%d reads", fixture.reads);
    cr_expect(fixture.listener.appended.size() == 1);
    cr_expect(fixture.listener.faults.empty());
}

Test(log_client, the_first_reads_of_a_burst_are_not_delayed)
{
    constexpr int burst_reads = 3;
    paced_log_fixture fixture(burst_reads);
    cr_assert(fixture.wait_until_read(2 + burst_reads));
    fixture.run_ready_handlers();
    cr_expect(fixture.reads == 2 + burst_reads, "%d reads", fixture.reads);
}

Test(log_client, reads_are_not_delayed_after_an_urgent_request)
{
    paced_log_fixture fixture;
    cr_assert(fixture.wait_until_read(2));
    fixture.client.expedite_reads();
    cr_expect(fixture.wait_until_read(10));
}

Test(log_client, reading_resumes_after_faults_without_gaps_or_repeats)
{
    // Each fault once, then the correct answer.
    std::vector<scripted_answer> script{
        {mode::disconnect, 200, ""},
        {mode::answer, 503, "{}"},
        {mode::answer, 200, frame(2, "gap")},
        {mode::truncate, 200, frame(1, "a")},
        {mode::answer, 200, frame(1, "a")}};
    std::size_t next = 0;
    log_client_fixture fixture(
        [&](const scripted_server::request& request) -> scripted_answer
        {
            if (has_path(request, "/v1/status"))
                return status_answer(1, 2);
            if (next < script.size())
                return script[next++];
            return {mode::no_answer, 200, ""};
        });
    fixture.client.start(fixture.listener);
    cr_assert(fixture.wait_until(
        [&]
        {
            return !fixture.listener.opened.empty();
        }));
    fixture.client.tail_from(log_offset(1));
    cr_assert(fixture.wait_until(
        [&]
        {
            return !fixture.listener.offsets.empty();
        }));
    cr_expect(fixture.listener.offsets == std::vector<std::uint64_t>({1}));
    const std::vector<log_fault> expected_faults{
        log_fault::unreachable,
        log_fault::unreachable,
        log_fault::malformed,
        log_fault::unreachable};
    cr_expect(fixture.listener.faults == expected_faults);
}

Test(
    log_client, trimmed_entries_are_reported_and_reading_waits_for_a_new_offset)
{
    log_client_fixture fixture(
        [](const scripted_server::request& request) -> scripted_answer
        {
            if (has_path(request, "/v1/status"))
                return status_answer(1, 9);
            if (has_path(request, "/v1/read?from=1&"))
                return {mode::answer, 410, "{\"first_offset\":8}"};
            if (has_path(request, "/v1/read?from=8&"))
                return {mode::answer, 200, frame(8, "h")};
            return {mode::no_answer, 200, ""};
        });
    fixture.client.start(fixture.listener);
    cr_assert(fixture.wait_until(
        [&]
        {
            return !fixture.listener.opened.empty();
        }));
    fixture.client.tail_from(log_offset(1));
    cr_assert(fixture.wait_until(
        [&]
        {
            return fixture.listener.was_trimmed;
        }));
    cr_expect(fixture.listener.opened[1] == offset_pair(8, 9));
    cr_expect(fixture.listener.offsets.empty());
    fixture.client.tail_from(log_offset(8));
    cr_assert(fixture.wait_until(
        [&]
        {
            return !fixture.listener.offsets.empty();
        }));
    cr_expect(fixture.listener.offsets[0] == 8);
}

Test(log_client, a_trimmed_log_is_reported_at_the_first_status)
{
    log_client_fixture fixture(
        [](const scripted_server::request&) -> scripted_answer
        {
            return status_answer(5, 6);
        });
    fixture.client.start(fixture.listener);
    cr_assert(fixture.wait_until(
        [&]
        {
            return !fixture.listener.opened.empty();
        }));
    cr_expect(fixture.listener.was_trimmed);
}
