#include "tools/lines/request_loss.hpp"

#include <string>
#include <utility>

namespace roseworks::tools
{

namespace
{

constexpr std::array<std::string_view, loss_causes> cause_names{
    "no_owner",
    "no_copy",
    "load_from_memory",
    "load_from_disk",
    "load_from_store",
    "model_unloaded",
    "no_engine_free",
    "server_slow",
    "server_gone",
    "server_unreachable",
    "server_failed",
    "retry_budget",
    "limits",
    "blocked",
    "router_stopped",
    "caller_left",
    "other"};

constexpr std::array<std::string_view, loss_kinds> kind_names{
    "late", "refused", "failed"};

/// Reasons that need no search.
constexpr std::pair<std::string_view, loss_cause> plain_reasons[] = {
    {"log_unavailable", loss_cause::no_owner},
    {"retries_exhausted", loss_cause::retry_budget},
    {"queue_full", loss_cause::limits},
    {"displaced", loss_cause::limits},
    {"caller_limit", loss_cause::limits},
    {"organisation_limit", loss_cause::limits},
    {"blocked", loss_cause::blocked},
    {"draining", loss_cause::router_stopped}};

/// A load that was ordered before the request came may be what it waits for:
/// the longest usual load.
constexpr std::int64_t longest_load_ms = 20'000;

/// Lines of two VMs about one event are written so far apart, and the registry
/// drops a server that crashed so much later.
constexpr std::int64_t slack_ms = 5'000;

/// Of the objective: a wait over it counts as the cause of lateness.
constexpr std::int64_t long_wait_share = 2;

/// When a request came and ended.
struct request_span
{
    explicit request_span(const log_line& line)
        : came_ms(line.at_ms - line.number("total_ms"))
        , ended_ms(line.at_ms)
    {
    }

    std::int64_t came_ms;
    std::int64_t ended_ms;
};

std::string model_of(const log_line& line)
{
    const std::string_view servable = line.text("servable");
    return std::string(servable.substr(0, servable.find('/')));
}

loss_cause cause_of_wait(const log_line& line, const fleet_context& fleet)
{
    const request_span span(line);
    const auto load = fleet.load_between(
        model_of(line), span.came_ms - longest_load_ms, span.ended_ms);
    if (!load)
        return line.number("wait_ms") > 0 && line.number("sends") > 0
                   ? loss_cause::no_engine_free
                   : loss_cause::no_copy;
    if (load->source == "store")
        return loss_cause::load_from_store;
    // A load that ended before the request came isn't what it waited for.
    if (load->at_ms < span.came_ms - slack_ms)
        return loss_cause::no_engine_free;
    return load->source == "memory" ? loss_cause::load_from_memory
                                    : loss_cause::load_from_disk;
}

bool was_sent_in_vain(const log_line& line, const fleet_context& fleet)
{
    return line.number("sends") > 0 &&
           fleet.was_unloaded(
               model_of(line), line.text("server"), request_span(line).came_ms);
}

loss_cause cause_at_server(const log_line& line, const fleet_context& fleet)
{
    const std::string_view server = line.text("server");
    const request_span span(line);
    if (fleet.unreached_between(
            server, span.came_ms - slack_ms, span.ended_ms + slack_ms))
        return loss_cause::server_unreachable;
    if (fleet.gone_between(
            server, span.came_ms - slack_ms, span.ended_ms + slack_ms))
        return loss_cause::server_gone;
    return loss_cause::server_failed;
}

loss_cause cause_of_lateness(const log_line& line, const fleet_context& fleet)
{
    const std::int64_t objective_ms = line.number("objective_ms");
    if (line.number("wait_ms") * long_wait_share >= objective_ms)
        return cause_of_wait(line, fleet);
    if (line.number("sends") > 1)
        return cause_at_server(line, fleet);
    return loss_cause::server_slow;
}

loss_cause cause_of_end(const log_line& line, const fleet_context& fleet)
{
    const std::string_view reason = line.text("reason");
    if (line.text("end") == "refused" && was_sent_in_vain(line, fleet))
        return loss_cause::model_unloaded;
    for (const auto& [name, cause] : plain_reasons)
    {
        if (reason == name)
            return cause;
    }
    if (line.text("end") == "caller_left")
        return loss_cause::caller_left;
    if (reason == "deadline" || reason == "no_capacity")
        return line.number("sends") > 0 ? loss_cause::server_slow
                                        : cause_of_wait(line, fleet);
    if (reason == "backend_timeout")
        return loss_cause::server_slow;
    if (reason == "backend_failed" || reason == "stream_cut" ||
        line.text("end") == "passed_on")
        return cause_at_server(line, fleet);
    return loss_cause::other;
}

/// Time to the first part of a streamed answer, to the whole of another.
std::int64_t answered_after_ms(const log_line& line)
{
    const std::int64_t first_ms = line.number("first_ms");
    return first_ms > 0 ? first_ms : line.number("total_ms");
}

} // namespace

std::string_view to_string(loss_cause cause)
{
    return cause_names.at(static_cast<std::size_t>(cause));
}

std::string_view to_string(loss_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

bool tells_of_request(const log_line& line)
{
    const bool is_end =
        line.name == "request_served" || line.name == "request_ended";
    return is_end && !line.text("route").empty() &&
           line.text("reason") != "bad_request";
}

std::optional<request_loss>
find_loss(const log_line& line, const fleet_context& fleet)
{
    constexpr std::int64_t first_failure = 300;
    const std::string_view end = line.text("end");
    if (end == "passed_on" && line.number("status") < first_failure)
    {
        const std::int64_t objective_ms = line.number("objective_ms");
        if (objective_ms <= 0 || answered_after_ms(line) <= objective_ms)
            return std::nullopt;
        return request_loss{loss_kind::late, cause_of_lateness(line, fleet)};
    }
    const loss_kind kind =
        end == "refused" ? loss_kind::refused : loss_kind::failed;
    return request_loss{kind, cause_of_end(line, fleet)};
}

} // namespace roseworks::tools
