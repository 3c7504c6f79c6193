#include "adapters/log/http_log_client.hpp"

#include "adapters/log/log_frames.hpp"
#include "adapters/platform/rethrow.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace roseworks::log_client
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace leaf = boost::leaf;

using platform::exchange_end;
using platform::http_answer;
using platform::http_call;
using platform::http_client;

namespace
{

/// A poll that runs this far over its wait has lost its connection.
constexpr std::chrono::milliseconds poll_grace{2000};

constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;
constexpr unsigned client_errors = 400;
constexpr unsigned server_errors = 500;

http_client::options
connection_options(const http_log_client::options& settings)
{
    http_client::options result;
    result.connect_timeout = settings.connect_timeout;
    result.max_idle = 1;
    result.secured_by = settings.secured_by;
    return result;
}

/// @return A positive offset of the JSON object, 0 when there is none.
log_offset offset_field(const std::string& body, std::string_view name)
{
    json::error_code error;
    const json::value parsed = json::parse(body, error);
    if (error || !parsed.is_object())
        return {};
    const json::value* field = parsed.as_object().if_contains(name);
    if (field == nullptr || !field->is_number())
        return {};
    const auto number = field->to_number<std::uint64_t>(error);
    return error ? log_offset() : log_offset(number);
}

append_outcome outcome_of(const http_answer& answer)
{
    if (answer.end == exchange_end::not_sent ||
        answer.end == exchange_end::withheld)
        return append_outcome::refused;
    if (answer.is(status_ok))
        return append_outcome::done;
    if (answer.end == exchange_end::answered &&
        answer.status >= client_errors && answer.status < server_errors)
        return append_outcome::refused;
    return append_outcome::unknown;
}

} // namespace

http_log_client::http_log_client(
    asio::any_io_executor on,
    asio::ip::tcp::endpoint server,
    const options& wanted,
    platform::byte_meter& meter)
    : executor(on)
    , settings(wanted)
    , reads(on, server, connection_options(wanted), meter)
    , appends(on, server, connection_options(wanted), meter)
    , delays(wanted.retry_min, wanted.retry_max, wanted.seed)
    , pause_timer(on)
    , gather_timer(on)
{
}

void http_log_client::start(log_listener& wanted)
{
    this->listener = &wanted;
    asio::co_spawn(this->executor, this->tail(), platform::rethrow);
}

void http_log_client::tail_from(log_offset from)
{
    ++this->generation;
    this->next_read = from;
    this->reads.break_connections();
    this->pause_timer.cancel();
    this->gather_timer.cancel();
}

void http_log_client::expedite_reads()
{
    this->hurry_until = std::chrono::steady_clock::now() + this->settings.hurry;
    this->gather_timer.cancel();
}

void http_log_client::append(append_batch batch)
{
    this->waiting.push_back(std::move(batch));
    this->gather_timer.cancel();
    if (this->appending || this->stopped)
        return;
    this->appending = true;
    asio::co_spawn(this->executor, this->append_all(), platform::rethrow);
}

void http_log_client::stop()
{
    this->stopped = true;
    this->waiting.clear();
    this->pause_timer.cancel();
    this->gather_timer.cancel();
    this->reads.break_connections();
    this->appends.break_connections();
}

asio::awaitable<void> http_log_client::tail()
{
    while (!this->stopped)
    {
        if (!this->opened)
            co_await this->read_status();
        else if (!this->next_read)
            co_await this->pause();
        else
            co_await this->read_entries();

        if (this->failed && !this->stopped)
            co_await this->pause();
        else if (this->delivered && !this->somebody_waits())
            co_await this->gather();
    }
}

asio::awaitable<void> http_log_client::read_status()
{
    const std::uint64_t started_in = this->generation;
    const http_answer answer =
        co_await this->get("/v1/status", this->settings.append_timeout);
    if (!this->is_current(started_in))
        co_return;

    const log_offset first = offset_field(answer.body, "first_offset");
    const log_offset next = offset_field(answer.body, "next_offset");
    if (!answer.is(status_ok))
    {
        this->fail(log_fault::unreachable);
        co_return;
    }
    if (!first || next < first)
    {
        this->fail(log_fault::malformed);
        co_return;
    }
    this->failed = false;
    this->delays.reset();
    this->opened = true;
    this->next_look = std::chrono::steady_clock::now() + this->settings.look;
    this->known_end = next;
    constexpr log_offset oldest{1};
    this->listener->log_opened(first, next, first > oldest);
}

asio::awaitable<void> http_log_client::read_entries()
{
    const std::uint64_t started_in = this->generation;
    this->delivered = false;
    if (this->end_stale || std::chrono::steady_clock::now() >= this->next_look)
        co_await this->refresh_ends();
    if (!this->is_current(started_in))
        co_return;

    std::string target = "/v1/read?from=";
    target += std::to_string(this->next_read.value);
    target += "&max_bytes=";
    target += std::to_string(this->settings.read_bytes);
    target += "&wait_ms=";
    target += std::to_string(this->settings.poll_wait.count());
    const http_answer answer = co_await this->get(
        std::move(target), this->settings.poll_wait + poll_grace);
    if (!this->is_current(started_in))
        co_return;

    if (answer.is(status_ok))
        this->take_entries(answer.body);
    else if (answer.is(status_gone))
        this->take_trimmed(answer.body);
    else
        this->fail(log_fault::unreachable);
}

/// Asks where the log begins and ends: for the lag after a full read, and now
/// and then for what it keeps.
asio::awaitable<void> http_log_client::refresh_ends()
{
    const std::uint64_t started_in = this->generation;
    this->next_look = std::chrono::steady_clock::now() + this->settings.look;
    const http_answer answer =
        co_await this->get("/v1/status", this->settings.append_timeout);
    this->end_stale = false;
    if (!answer.is(status_ok) || !this->is_current(started_in))
        co_return;
    this->known_end =
        std::max(this->known_end, offset_field(answer.body, "next_offset"));
    const log_offset first = offset_field(answer.body, "first_offset");
    if (first && first <= this->next_read)
        this->listener->oldest_offset_read(first);
}

asio::awaitable<void> http_log_client::append_all()
{
    while (!this->waiting.empty() && !this->stopped)
    {
        const append_batch batch = std::move(this->waiting.front());
        this->waiting.pop_front();
        http_call call;
        call.method = http::verb::post;
        call.target = "/v1/append";
        call.content_type = "application/octet-stream";
        call.body = encode_append(batch.entries);
        call.timeout = this->settings.append_timeout;
        const http_answer answer = co_await this->appends.send(std::move(call));
        if (this->stopped)
            break;
        const append_outcome outcome = outcome_of(answer);
        if (outcome == append_outcome::done)
            this->note_appended(answer.body);
        this->listener->append_answered(batch.batch, outcome);
    }
    this->appending = false;
}

/// Waits for the next delay or `tail_from`.
asio::awaitable<void> http_log_client::pause()
{
    boost::system::error_code ignored;
    this->pause_timer.expires_after(this->delays.next());
    co_await this->pause_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

/// Lets entries come together, unless somebody begins to wait for them. Each
/// read is paid with one interval, and may run ahead by the free ones.
asio::awaitable<void> http_log_client::gather()
{
    const auto now = std::chrono::steady_clock::now();
    this->paid_until = std::max(this->paid_until, now) + this->settings.gather;
    const auto due =
        this->paid_until - this->settings.free_reads * this->settings.gather;
    if (due <= now)
        co_return;
    boost::system::error_code ignored;
    this->gather_timer.expires_at(due);
    co_await this->gather_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

bool http_log_client::somebody_waits() const
{
    const bool behind = this->next_read < this->known_end || this->end_stale;
    const bool own_unread = this->appending || this->next_read < this->own_end;
    const bool hurried = std::chrono::steady_clock::now() < this->hurry_until;
    return this->stopped || this->settings.gather.count() == 0 || behind ||
           own_unread || hurried;
}

/// The append's entries are this router's own: they are to be read soon.
void http_log_client::note_appended(const std::string& body)
{
    const log_offset first = offset_field(body, "first_offset");
    const log_offset count = offset_field(body, "count");
    this->own_end =
        std::max(this->own_end, log_offset(first.value + count.value));
}

asio::awaitable<http_answer>
http_log_client::get(std::string target, std::chrono::milliseconds timeout)
{
    http_call call;
    call.target = std::move(target);
    call.timeout = timeout;
    return this->reads.send(std::move(call));
}

bool http_log_client::is_current(std::uint64_t started_in) const
{
    return !this->stopped && started_in == this->generation;
}

void http_log_client::take_entries(const std::string& body)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(entries, parse_log_frames(body, this->next_read));
            this->failed = false;
            this->delays.reset();
            this->delivered = !entries.empty();
            this->next_read.value += entries.size();
            this->known_end = std::max(this->known_end, this->next_read);
            this->end_stale = body.size() >= this->settings.read_bytes / 2;
            this->listener->entries_read(std::move(entries), this->known_end);
            return {};
        },
        [&]
        {
            this->fail(log_fault::malformed);
        });
}

void http_log_client::take_trimmed(const std::string& body)
{
    const log_offset first = offset_field(body, "first_offset");
    if (first <= this->next_read)
    {
        this->fail(log_fault::malformed);
        return;
    }
    this->next_read = {};
    this->known_end = std::max(this->known_end, first);
    this->listener->log_opened(first, this->known_end, true);
}

void http_log_client::fail(log_fault fault)
{
    this->failed = true;
    this->listener->log_failed(fault);
}

} // namespace roseworks::log_client
