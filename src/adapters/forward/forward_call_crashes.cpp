// Keeps requests that crash backend servers from being sent to more of them.
#include "adapters/forward/forward_call.hpp"
#include "ports/hex_text.hpp"

#include <boost/beast/http/status.hpp>

#include <optional>
#include <span>
#include <string>

namespace roseworks::forward
{

namespace
{

using end_kind = attempt_result::end;

/// @return How a run without a complete answer ended; empty if the server
///         answered or didn't run the request.
std::optional<run_end> broken_run_of(end_kind how)
{
    switch (how)
    {
    case end_kind::broken:
        return run_end::connection;
    case end_kind::no_progress:
        return run_end::silence;
    case end_kind::caller_left:
        return run_end::caller;
    default:
        return std::nullopt;
    }
}

/// @return The hashes of the parts, separated by commas.
std::string to_text(std::span<const fingerprint> parts)
{
    std::string text;
    for (const fingerprint part : parts)
    {
        if (!text.empty())
            text += ',';
        text += to_hex(part.value);
    }
    return text;
}

} // namespace

asio::awaitable<bool> forward_call::pass_gate()
{
    using gate_outcome = request_gate::outcome;
    crash_port& crashes = this->context.ports.crashes;
    const request_gate::decision decision = this->context.gate.admit(
        *crashes.blocked(), this->content, this->context.now());
    switch (decision.result)
    {
    case gate_outcome::allowed:
        break;
    case gate_outcome::harmless:
        crashes.run_answered(this->content);
        break;
    case gate_outcome::trial:
        crashes.trial_started(this->content);
        break;
    case gate_outcome::refused:
        this->context.ports.dispatch.abandon(this->admission_ticket);
        co_await this->refuse_blocked(decision.retry_after);
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> forward_call::refuse_blocked(duration retry_after)
{
    const verdict outcome =
        this->may_have_run ? verdict::may_have_run : verdict::not_run;
    co_await this->finish_without_response(
        {true, outcome, refusal_reason::blocked, retry_after});
}

void forward_call::refuse_if_blocked()
{
    if (!this->is_waiting)
        return;
    const duration blocked_for = this->context.gate.refused_for(
        *this->context.ports.crashes.blocked(),
        this->content,
        this->context.now());
    if (blocked_for <= duration::zero())
        return;
    const verdict outcome =
        this->may_have_run ? verdict::may_have_run : verdict::not_run;
    this->inbox->post_reply(refusal{
        this->admission_ticket, refusal_reason::blocked, outcome, blocked_for});
}

void forward_call::report_run(
    const server_identity& server,
    const std::string& address,
    const attempt_result& result)
{
    const auto end = broken_run_of(result.how);
    if (!end)
        return;
    this->context.events.report(
        event_id::run_broken,
        {{"request_id", this->request.id},
         {"content", to_hex(this->content.value)},
         {"server", server.instance},
         {"life", to_hex(server.life.value)},
         {"end", to_string(*end)},
         {"parts", to_text(this->request.prompt_parts)}});
    this->context.ports.crashes.run_broken(
        {this->content, server.life, address, *end, this->sent_at});
}

void forward_call::report_answer(
    const server_identity& server,
    const std::string& address,
    const server_exchange& exchange)
{
    if (http::to_status_class(exchange.head().result_int()) !=
        http::status_class::successful)
        return;
    crash_port& crashes = this->context.ports.crashes;
    const bool is_suspect = crashes.blocked()->suspects.contains(this->content);
    if (exchange.framing() != body_framing::connection)
    {
        this->context.gate.answered(this->content, this->context.now());
        if (is_suspect)
            crashes.run_answered(this->content);
    }
    else if (is_suspect)
        crashes.run_broken(
            {this->content,
             server.life,
             address,
             run_end::closed,
             this->sent_at});
}

} // namespace roseworks::forward
