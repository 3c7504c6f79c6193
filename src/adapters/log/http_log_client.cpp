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

using platform::exchange_outcome;
using platform::http_answer;
using platform::http_call;
using platform::http_client;

namespace
{

/// A long poll that exceeds its wait by this time has lost its connection.
constexpr std::chrono::milliseconds poll_timeout_margin{2000};

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
    result.tls_connector = settings.tls_connector;
    return result;
}

/// @return The field of a JSON object, or 0 if the body or the field is
/// invalid.
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
    if (answer.outcome == exchange_outcome::not_sent ||
        answer.outcome == exchange_outcome::withheld)
        return append_outcome::refused;
    if (answer.is(status_ok))
        return append_outcome::done;
    if (answer.outcome == exchange_outcome::answered &&
        answer.status >= client_errors && answer.status < server_errors)
        return append_outcome::refused;
    return append_outcome::unknown;
}

} // namespace

http_log_client::http_log_client(
    asio::any_io_executor executor,
    asio::ip::tcp::endpoint server,
    const options& settings,
    platform::byte_meter& meter)
    : executor(executor)
    , settings(settings)
    , read_client(executor, server, connection_options(settings), meter)
    , append_client(executor, server, connection_options(settings), meter)
    , retry_delays(settings.retry_min, settings.retry_max, settings.seed)
    , retry_timer(executor)
    , pacing_timer(executor)
{
}

void http_log_client::start(log_listener& receiver)
{
    this->listener = &receiver;
    asio::co_spawn(this->executor, this->tail(), platform::rethrow);
}

void http_log_client::tail_from(log_offset from)
{
    ++this->generation;
    this->next_read = from;
    this->read_client.break_connections();
    this->retry_timer.cancel();
    this->pacing_timer.cancel();
}

void http_log_client::expedite_reads()
{
    this->urgent_until =
        std::chrono::steady_clock::now() + this->settings.urgent_period;
    this->pacing_timer.cancel();
}

void http_log_client::append(append_batch batch)
{
    this->pending_appends.push_back(std::move(batch));
    this->pacing_timer.cancel();
    if (this->is_appending || this->is_stopped)
        return;
    this->is_appending = true;
    asio::co_spawn(
        this->executor, this->send_pending_appends(), platform::rethrow);
}

void http_log_client::stop()
{
    this->is_stopped = true;
    this->pending_appends.clear();
    this->retry_timer.cancel();
    this->pacing_timer.cancel();
    this->read_client.break_connections();
    this->append_client.break_connections();
}

asio::awaitable<void> http_log_client::tail()
{
    while (!this->is_stopped)
    {
        if (!this->is_status_known)
            co_await this->read_status();
        else if (!this->next_read)
            co_await this->wait_for_retry();
        else
            co_await this->read_entries();

        if (this->has_last_read_failed && !this->is_stopped)
            co_await this->wait_for_retry();
        else if (this->last_read_had_entries && !this->must_read_at_once())
            co_await this->delay_next_read();
    }
}

asio::awaitable<void> http_log_client::read_status()
{
    const std::uint64_t started_generation = this->generation;
    const http_answer answer =
        co_await this->get("/v1/status", this->settings.append_timeout);
    if (!this->is_current(started_generation))
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
    this->has_last_read_failed = false;
    this->retry_delays.reset();
    this->is_status_known = true;
    this->next_retention_check = std::chrono::steady_clock::now() +
                                 this->settings.retention_check_interval;
    this->known_end = next;
    constexpr log_offset oldest{1};
    this->listener->log_opened(first, next, first > oldest);
}

asio::awaitable<void> http_log_client::read_entries()
{
    const std::uint64_t started_generation = this->generation;
    this->last_read_had_entries = false;
    if (this->is_end_stale ||
        std::chrono::steady_clock::now() >= this->next_retention_check)
        co_await this->refresh_offsets();
    if (!this->is_current(started_generation))
        co_return;

    std::string target = "/v1/read?from=";
    target += std::to_string(this->next_read.value);
    target += "&max_bytes=";
    target += std::to_string(this->settings.max_read_bytes);
    target += "&wait_ms=";
    target += std::to_string(this->settings.poll_wait.count());
    const http_answer answer = co_await this->get(
        std::move(target), this->settings.poll_wait + poll_timeout_margin);
    if (!this->is_current(started_generation))
        co_return;

    if (answer.is(status_ok))
        this->handle_entries(answer.body);
    else if (answer.is(status_gone))
        this->handle_trimmed(answer.body);
    else
        this->fail(log_fault::unreachable);
}

/// Reads the first and the next offset of the log: after a large read to know
/// the lag, and at regular intervals to know the oldest offset that is kept.
asio::awaitable<void> http_log_client::refresh_offsets()
{
    const std::uint64_t started_generation = this->generation;
    this->next_retention_check = std::chrono::steady_clock::now() +
                                 this->settings.retention_check_interval;
    const http_answer answer =
        co_await this->get("/v1/status", this->settings.append_timeout);
    this->is_end_stale = false;
    if (!answer.is(status_ok) || !this->is_current(started_generation))
        co_return;
    this->known_end =
        std::max(this->known_end, offset_field(answer.body, "next_offset"));
    const log_offset first = offset_field(answer.body, "first_offset");
    if (first && first <= this->next_read)
        this->listener->oldest_offset_read(first);
}

asio::awaitable<void> http_log_client::send_pending_appends()
{
    while (!this->pending_appends.empty() && !this->is_stopped)
    {
        const append_batch batch = std::move(this->pending_appends.front());
        this->pending_appends.pop_front();
        http_call call;
        call.method = http::verb::post;
        call.target = "/v1/append";
        call.content_type = "application/octet-stream";
        call.body = encode_append(batch.entries);
        call.timeout = this->settings.append_timeout;
        const http_answer answer =
            co_await this->append_client.send(std::move(call));
        if (this->is_stopped)
            break;
        const append_outcome outcome = outcome_of(answer);
        if (outcome == append_outcome::done)
            this->record_own_append(answer.body);
        this->listener->append_answered(batch.batch, outcome);
    }
    this->is_appending = false;
}

/// Waits for the next retry delay or a call of `tail_from`.
asio::awaitable<void> http_log_client::wait_for_retry()
{
    boost::system::error_code ignored;
    this->retry_timer.expires_after(this->retry_delays.next());
    co_await this->retry_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

/// Delays the next read so that it returns more entries. An urgent request ends
/// the delay. Each read adds one interval to `paced_until`, which may be ahead
/// of the clock by `burst_reads` intervals.
asio::awaitable<void> http_log_client::delay_next_read()
{
    const auto now = std::chrono::steady_clock::now();
    this->paced_until =
        std::max(this->paced_until, now) + this->settings.read_interval;
    const auto due = this->paced_until -
                     this->settings.burst_reads * this->settings.read_interval;
    if (due <= now)
        co_return;
    boost::system::error_code ignored;
    this->pacing_timer.expires_at(due);
    co_await this->pacing_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

bool http_log_client::must_read_at_once() const
{
    const bool is_behind =
        this->next_read < this->known_end || this->is_end_stale;
    const bool has_unread_append =
        this->is_appending || this->next_read < this->own_append_end;
    const bool is_urgent =
        std::chrono::steady_clock::now() < this->urgent_until;
    return this->is_stopped || this->settings.read_interval.count() == 0 ||
           is_behind || has_unread_append || is_urgent;
}

/// Stores the end of this router's own append, so that it is read back without
/// delay.
void http_log_client::record_own_append(const std::string& body)
{
    const log_offset first = offset_field(body, "first_offset");
    const log_offset count = offset_field(body, "count");
    this->own_append_end =
        std::max(this->own_append_end, log_offset(first.value + count.value));
}

asio::awaitable<http_answer>
http_log_client::get(std::string target, std::chrono::milliseconds timeout)
{
    http_call call;
    call.target = std::move(target);
    call.timeout = timeout;
    return this->read_client.send(std::move(call));
}

bool http_log_client::is_current(std::uint64_t started_generation) const
{
    return !this->is_stopped && started_generation == this->generation;
}

void http_log_client::handle_entries(const std::string& body)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(entries, parse_log_frames(body, this->next_read));
            this->has_last_read_failed = false;
            this->retry_delays.reset();
            this->last_read_had_entries = !entries.empty();
            this->next_read.value += entries.size();
            this->known_end = std::max(this->known_end, this->next_read);
            this->is_end_stale =
                body.size() >= this->settings.max_read_bytes / 2;
            this->listener->entries_read(std::move(entries), this->known_end);
            return {};
        },
        [&]
        {
            this->fail(log_fault::malformed);
        });
}

void http_log_client::handle_trimmed(const std::string& body)
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
    this->has_last_read_failed = true;
    this->listener->log_failed(fault);
}

} // namespace roseworks::log_client
