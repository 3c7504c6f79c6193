// What backend servers state about themselves in responses.
#include "adapters/forward/forward_call.hpp"
#include "adapters/forward/notice_headers.hpp"
#include "adapters/forward/response_head.hpp"

#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace roseworks::forward
{

namespace
{

std::string_view to_string_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Figures that a server states about its load.
struct stated_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// As `load_report::host_time_percent`.
    std::uint32_t host_time_percent = 0;
};

/// Parses RUNNING,WAITING,SLOTS or RUNNING,WAITING,SLOTS,HOST_TIME_PERCENT.
std::optional<stated_load> parse_load(std::string_view text)
{
    constexpr std::size_t min_count = 3;
    std::array<std::uint32_t, min_count + 1> numbers{};
    std::size_t count = 0;
    while (count < numbers.size())
    {
        const char* const end = text.data() + text.size();
        const auto [stop, error] =
            std::from_chars(text.data(), end, numbers[count]);
        if (error != std::errc() || (stop != end && *stop != ','))
            return std::nullopt;
        ++count;
        if (stop == end)
            break;
        text.remove_prefix(static_cast<std::size_t>(stop - text.data()) + 1);
    }
    if (count < min_count)
        return std::nullopt;
    return stated_load{numbers[0], numbers[1], numbers[3]};
}

} // namespace

std::optional<server_load_notice>
forward_call::report_load(const grant& granted, const server_exchange& exchange)
{
    this->host_time_percent = 0;
    const auto text = exchange.head()[this->context.names.load];
    if (text.empty() || !granted.engine)
        return std::nullopt;
    const auto load = parse_load(to_string_view(text));
    if (!load)
        return std::nullopt;
    this->host_time_percent = load->host_time_percent;
    this->context.ports.load_reported(
        {granted.engine,
         load->running,
         load->waiting,
         load->host_time_percent});
    return server_load_notice{load->running, load->waiting};
}

void forward_call::report_notice(
    const grant& granted,
    const server_identity& server,
    const server_exchange& exchange,
    std::optional<server_load_notice> load)
{
    constexpr std::size_t max_logged_length = 32;
    const server_rate_limit rate_limit =
        parse_rate_limit(exchange.head(), this->context.names);
    this->last_rate_limit = rate_limit.raw_value.substr(0, max_logged_length);
    if (rate_limit.is_malformed)
        this->context.events.report(
            event_id::server_limit_malformed,
            {{"server", this->last_server}, {"value", this->last_rate_limit}});
    server_notice notice = parse_notice(exchange.head(), this->context.names);
    notice.load = load;
    this->last_leaving = notice.leaving;
    this->last_pause = pause_text(exchange.head()).substr(0, max_logged_length);
    this->is_last_paused = notice.pause.has_value();
    if (!this->last_pause.empty() && !notice.pause)
        this->context.events.report(
            event_id::server_pause_malformed,
            {{"server", this->last_server}, {"value", this->last_pause}});
    if (notice.leaving)
        this->context.metrics.notices.increment(notice_kind::leaving);
    if (notice.pause)
        this->context.metrics.notices.increment(notice_kind::pause);
    const response_source source = source_of(
        exchange.head(),
        this->context.names,
        server.instance,
        static_cast<bool>(granted.engine));
    if (source == response_source::unknown)
        return;
    if (source == response_source::other_server)
        notice = server_notice{.replaced = true};
    this->context.ports.dispatch.server_stated(
        {granted.engine, granted.address}, server.instance, notice);
    this->context.ports.response_received(server, notice, this->sent_at);
}

} // namespace roseworks::forward
