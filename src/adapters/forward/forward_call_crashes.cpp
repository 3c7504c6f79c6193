// Keeps requests that crash backend servers from being sent to more of them.
#include "adapters/forward/forward_call.hpp"
#include "ports/hex_text.hpp"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

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

duration blocked_for(
    const request_gate& gate,
    const blocked_requests& known,
    const forward_request& request,
    fingerprint content,
    instant now)
{
    duration longest = gate.refused_for(known, content, now);
    for (const fingerprint part : request.prompt_parts)
        longest = std::max(longest, gate.refused_for(known, part, now));
    return longest;
}

duration forward_call::blocked_for() const
{
    return forward::blocked_for(
        this->context.gate,
        *this->context.ports.crashes.blocked(),
        this->request,
        this->content,
        this->context.now());
}

asio::awaitable<bool> forward_call::pass_gate()
{
    const duration retry_after = this->blocked_for();
    if (retry_after > duration::zero())
    {
        this->context.ports.dispatch.abandon(this->admission_ticket);
        co_await this->refuse_blocked(retry_after);
        co_return false;
    }
    const blocked_requests_ptr known = this->context.ports.crashes.blocked();
    this->admit_subject(*known, this->content);
    for (const fingerprint part : this->request.prompt_parts)
        this->admit_subject(*known, part);
    co_return true;
}

void forward_call::admit_subject(
    const blocked_requests& known, fingerprint subject)
{
    using gate_outcome = request_gate::outcome;
    crash_port& crashes = this->context.ports.crashes;
    const request_gate::decision decision =
        this->context.gate.admit(known, subject, this->context.now());
    if (decision.result == gate_outcome::harmless)
        crashes.run_answered(subject);
    else if (decision.result == gate_outcome::trial)
        crashes.trial_started(subject);
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
    const duration retry_after = this->blocked_for();
    if (retry_after > duration::zero())
        this->refuse_if_waiting(refusal_reason::blocked, retry_after);
}

void forward_call::refuse_if_waiting(refusal_reason why, duration retry_after)
{
    if (!this->is_waiting)
        return;
    const verdict outcome =
        this->may_have_run ? verdict::may_have_run : verdict::not_run;
    this->inbox->post_reply(
        refusal{this->admission_ticket, why, outcome, retry_after});
}

run_content forward_call::content_of_run() const
{
    const instant now = this->context.now();
    run_content run{
        this->content, {}, this->answer_began, this->route.max_event_gap};
    for (const fingerprint part : this->request.prompt_parts)
        run.parts.push_back(
            {part, this->context.good_parts.contains(part, now)});
    return run;
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
        {this->content_of_run(), server.life, address, *end, this->sent_at});
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
    if (exchange.framing() == body_framing::connection)
    {
        // A crash ends the connection, too.
        crashes.run_broken(
            {this->content_of_run(),
             server.life,
             address,
             run_end::closed,
             this->sent_at});
        return;
    }
    const blocked_requests_ptr known = crashes.blocked();
    this->context.gate.answered(this->content, this->context.now());
    if (known->suspects.contains(this->content))
        crashes.run_answered(this->content);
    this->report_good_parts(*known);
}

void forward_call::report_good_parts(const blocked_requests& known)
{
    std::vector<prompt_part> suspected;
    for (const fingerprint part : this->request.prompt_parts)
    {
        this->context.good_parts.add(part, this->context.now());
        if (known.suspects.contains(part))
            suspected.push_back({part, true});
    }
    if (!suspected.empty() && this->answer_began)
        this->context.ports.crashes.parts_answered(
            std::move(suspected), *this->answer_began);
}

} // namespace roseworks::forward
