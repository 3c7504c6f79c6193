#include "adapters/edge/call_runner.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>
#include <variant>

namespace roseworks::edge
{

namespace
{

using end = attempt_result::end;

constexpr unsigned status_no_content = 204;

/// Detects that the caller closes its connection while its call runs. Does not
/// access the connection after the call has finished.
asio::awaitable<void>
watch_for_close(caller_connection& caller, std::shared_ptr<call_inbox> inbox)
{
    const auto [error] = co_await caller.stream.socket().async_wait(
        tcp::socket::wait_read, use_awaitable_tuple);
    if (error || inbox->finished())
        co_return;
    if (caller.peer_closed())
        inbox->caller_left();
}

claim_outcome to_claim_outcome(verdict outcome)
{
    switch (outcome)
    {
    case verdict::not_run:
        return claim_outcome::not_run;
    case verdict::may_have_run:
        return claim_outcome::may_have_run;
    case verdict::answered:
        return claim_outcome::answered;
    }
    return claim_outcome::may_have_run;
}

std::string_view claim_outcome_name(claim_outcome outcome)
{
    switch (outcome)
    {
    case claim_outcome::open:
        return "open";
    case claim_outcome::answered:
        return "answered";
    case claim_outcome::may_have_run:
        return "may-have-run";
    case claim_outcome::not_run:
        return "not-run";
    }
    return "open";
}

/// The claim stores no content type, so JSON is recognised by its first
/// character.
std::string_view guess_content_type(std::string_view body)
{
    const bool json = body.starts_with('{') || body.starts_with('[');
    return json ? "application/json" : "application/octet-stream";
}

} // namespace

call_runner::call_runner(
    edge_context& shared,
    backend_pool& connections,
    caller_connection& connection,
    prepared_call prepared)
    : context(shared)
    , pool(connections)
    , caller(connection)
    , call(std::move(prepared))
    , inbox(std::make_shared<call_inbox>(connections.executor))
    , stream(connection, this->make_context(), shared.ports.observer)
{
    this->record.kind = this->call.target.kind;
    this->record.requested_priority = this->call.info.asked;
}

call_runner::~call_runner()
{
    this->inbox->finish();
}

asio::awaitable<bool> call_runner::run()
{
    this->request = this->context.ports.dispatch.submit(
        this->call.info,
        [messages = this->weak_inbox()](const dispatch_port::reply& answer)
        {
            if (const auto live = messages.lock())
                live->post_reply(answer);
        });
    asio::co_spawn(
        this->pool.executor,
        watch_for_close(this->caller, this->inbox),
        asio::detached);
    co_await this->serve();
    if (!this->call.unfinished_run_address.empty())
        this->pool.cancel(
            this->call.unfinished_run_address, this->call.headers.request_id);
    this->inbox->finish();
    beast::error_code ignored;
    this->caller.stream.socket().cancel(ignored);
    this->report();
    co_return this->connection_usable && !this->inbox->caller_has_left() &&
        this->make_context().keep_alive;
}

asio::awaitable<void> call_runner::serve()
{
    while (true)
    {
        const auto reply = co_await this->inbox->next_reply();
        if (!reply)
        {
            this->context.ports.dispatch.abandon(this->request);
            co_await this->answer_interrupted();
            co_return;
        }
        if (const auto* refused = std::get_if<refusal>(&*reply))
        {
            co_await this->answer_refused(*refused);
            co_return;
        }
        const bool final_answer =
            co_await this->attempt(std::get<grant>(*reply));
        if (final_answer)
            co_return;
    }
}

asio::awaitable<bool> call_runner::attempt(grant where)
{
    if (this->record.attempts == 0)
        this->record.queue_wait = this->context.now() - this->call.arrived;
    const bool owned = co_await this->claim();
    if (!owned)
        co_return true;
    ++this->record.attempts;
    if (this->record.attempts > 1)
    {
        this->context.ports.events.report(
            event_id::request_retried,
            {{"request_id", this->call.headers.request_id},
             {"servable", this->call.info.target},
             {"attempt", this->record.attempts}});
    }
    backend_attempt current_attempt(
        this->pool, this->call, *this->inbox, this->stream);
    attempt_outcome outcome = co_await current_attempt.run(std::move(where));
    const bool ran = outcome.sent && outcome.result.how != end::refused_not_run;
    this->may_have_run = this->may_have_run || ran;
    this->record.first_byte = outcome.result.first_byte;
    this->record.tokens += outcome.result.tokens;
    const dispatcher::finish finish =
        this->context.ports.dispatch.finished(this->request, outcome.result);
    if (outcome.result.how == end::answered)
    {
        if (outcome.answer)
            co_await this->send_buffered(std::move(*outcome.answer));
        else
            this->close_claim(verdict::answered, this->stream.status());
        co_return true;
    }
    if (outcome.result.how == end::caller_left)
    {
        co_await this->answer_interrupted();
        co_return true;
    }
    const bool retry_granted = !finish.final_answer;
    const bool retry_allowed =
        this->call.info.repeatable || !this->may_have_run;
    if (retry_granted && retry_allowed)
        co_return false;
    if (retry_granted)
        this->context.ports.dispatch.abandon(this->request);
    co_await this->answer_failed(finish);
    co_return true;
}

asio::awaitable<bool> call_runner::claim()
{
    if (!this->call.claim || this->claim_held)
        co_return true;
    this->context.ports.claims.claim(
        *this->call.claim,
        [messages = this->weak_inbox()](const claim_result& result)
        {
            if (const auto live = messages.lock())
                live->post_claim(result);
        });
    // Waits for the result even if the call must end: a claim that is granted
    // to it afterwards must still be closed.
    claim_result result = co_await this->inbox->wait_for_claim();
    this->claim_held = result.result == claim_result::status::granted;
    const bool late = this->call.deadline <= this->context.now();
    const bool ended = this->inbox->caller_has_left() || this->inbox->forced();
    if (this->claim_held && !late && !ended)
    {
        this->inbox->outlives_caller = true;
        co_return true;
    }
    this->context.ports.dispatch.abandon(this->request);
    if (ended)
        co_await this->answer_interrupted();
    else if (result.result == claim_result::status::held)
        co_await this->answer_held(std::move(result));
    else if (result.result == claim_result::status::expired)
    {
        call_problem problem =
            make_problem(refusal_reason::claim_expired, verdict::not_run);
        problem.detail = "the key is older than what is remembered, or made "
                         "by a clock that is ahead; this call did not run";
        co_await this->send_refusal(std::move(problem));
    }
    else if (result.result == claim_result::status::unavailable)
    {
        this->context.ports.events.report(
            event_id::claim_unavailable,
            {{"request_id", this->call.headers.request_id},
             {"caller", this->call.headers.caller},
             {"reason", "unavailable"}});
        call_problem problem = make_problem(
            refusal_reason::log_unavailable,
            verdict::not_run,
            this->context.options.claim_retry_after);
        co_await this->send_refusal(std::move(problem));
    }
    else
    {
        this->close_claim(verdict::not_run);
        call_problem problem =
            make_problem(refusal_reason::deadline, verdict::not_run);
        co_await this->send_refusal(std::move(problem));
    }
    co_return false;
}

asio::awaitable<void> call_runner::answer_held(claim_result held)
{
    if (held.content != 0 && held.content != this->call.claim->content)
    {
        call_problem reused =
            make_problem(refusal_reason::key_reused, verdict::not_run);
        reused.detail = "the key is of a call with another method, path or "
                        "body; this one did not run";
        co_await this->send_refusal(std::move(reused));
        co_return;
    }
    const bool has_stored_answer =
        held.http_status != 0 &&
        (!held.body.empty() || held.http_status == status_no_content);
    if (held.outcome == claim_outcome::answered && has_stored_answer)
    {
        buffered_response answer = make_response(
            this->make_context(),
            held.http_status,
            guess_content_type(held.body),
            std::move(held.body));
        answer.set("X-Roseworks-Replayed", "1");
        this->record.replayed = true;
        co_await this->send(std::move(answer));
        co_return;
    }
    this->context.ports.events.report(
        event_id::claim_lost,
        {{"request_id", this->call.headers.request_id},
         {"caller", this->call.headers.caller},
         {"holder", claim_outcome_name(held.outcome)}});
    call_problem problem =
        make_problem(refusal_reason::claim_held, verdict::not_run);
    problem.holder = claim_outcome_name(held.outcome);
    problem.detail = "another call holds the key; this one did not run";
    if (held.outcome == claim_outcome::open)
        problem.retry_after = this->context.options.claim_retry_after;
    co_await this->send_refusal(std::move(problem));
}

asio::awaitable<void> call_runner::answer_refused(refusal why)
{
    const verdict outcome = this->corrected_verdict(why.outcome);
    this->close_claim(outcome);
    call_problem problem = make_problem(why.reason, outcome, why.retry_after);
    co_await this->send_refusal(std::move(problem));
}

asio::awaitable<void> call_runner::answer_interrupted()
{
    const verdict outcome = this->corrected_verdict(verdict::not_run);
    this->close_claim(outcome);
    this->record_failure(outcome, refusal_reason::none);
    const bool forced =
        this->inbox->forced() && !this->inbox->caller_has_left();
    if (forced)
    {
        call_problem problem = make_problem(refusal_reason::draining, outcome);
        co_await this->send_refusal(std::move(problem));
        co_return;
    }
    this->connection_usable = false;
    this->record.caller_left = true;
    this->context.ports.events.report(
        event_id::caller_left,
        {{"request_id", this->call.headers.request_id},
         {"servable", this->call.info.target},
         {"caller", this->call.headers.caller},
         {"bytes", this->stream.bytes()}});
}

asio::awaitable<void> call_runner::answer_failed(dispatcher::finish how)
{
    const verdict outcome = this->corrected_verdict(how.outcome);
    this->close_claim(outcome);
    const bool without_reason = how.reason == refusal_reason::none;
    call_problem problem = make_problem(
        without_reason ? refusal_reason::backend_failed : how.reason,
        outcome,
        how.retry_after);
    co_await this->send_refusal(std::move(problem));
}

asio::awaitable<void> call_runner::send_buffered(buffered_response answer)
{
    this->close_claim(verdict::answered, answer.result_int(), answer.body());
    buffered_response forwarded;
    forwarded.result(answer.result_int());
    forwarded.version(this->call.version);
    copy_end_to_end_headers(answer, forwarded);
    set_router_headers(
        forwarded, this->call.headers.request_id, verdict::answered);
    forwarded.keep_alive(this->make_context().keep_alive);
    forwarded.body() = std::move(answer.body());
    if (this->call.method != http::verb::head)
        forwarded.prepare_payload();
    else if (answer.has_content_length())
        forwarded.set(
            http::field::content_length, answer[http::field::content_length]);
    co_await this->send(std::move(forwarded));
}

asio::awaitable<void> call_runner::send_refusal(call_problem problem)
{
    this->record_failure(problem.outcome, problem.reason);
    if (this->stream.started())
    {
        this->record.status = this->stream.status();
        this->connection_usable = false;
        this->context.ports.events.report(
            event_id::stream_cut,
            {{"request_id", this->call.headers.request_id},
             {"servable", this->call.info.target},
             {"bytes", this->stream.bytes()},
             {"outcome", to_string(problem.outcome)},
             {"reason", to_string(problem.reason)}});
        co_await this->stream.cut(problem);
        co_return;
    }
    this->context.ports.events.report(
        event_id::request_refused,
        {{"request_id", this->call.headers.request_id},
         {"servable", this->call.info.target},
         {"caller", this->call.headers.caller},
         {"priority", to_string(this->call.info.asked)},
         {"reason", to_string(problem.reason)},
         {"status", problem.status}});
    buffered_response answer =
        make_problem_response(this->make_context(), problem);
    co_await this->send(std::move(answer));
}

asio::awaitable<void> call_runner::send(buffered_response answer)
{
    this->record.status = answer.result_int();
    bool sent = false;
    if (this->call.method == http::verb::head)
        sent = co_await this->caller.write_head_only(answer);
    else
        sent = co_await this->caller.write(answer);
    if (!sent)
    {
        this->connection_usable = false;
        this->record.caller_left = true;
    }
}

verdict call_runner::corrected_verdict(verdict reported) const
{
    const bool wrong = reported == verdict::not_run && this->may_have_run;
    return wrong ? verdict::may_have_run : reported;
}

void call_runner::record_failure(verdict outcome, refusal_reason reason)
{
    this->record.outcome = outcome;
    this->record.reason = reason;
}

void call_runner::close_claim(
    verdict outcome, unsigned status, std::string body)
{
    if (!std::exchange(this->claim_held, false))
        return;
    claim_close what;
    what.key = this->call.claim->key;
    what.outcome = to_claim_outcome(outcome);
    what.status = static_cast<std::uint16_t>(status);
    if (body.size() <= this->context.options.max_stored_answer_bytes)
        what.body = std::move(body);
    this->context.ports.claims.close(std::move(what));
}

response_context call_runner::make_context() const
{
    return {
        this->call.headers.request_id,
        this->call.version,
        this->call.keep_alive && !this->context.draining};
}

void call_runner::report()
{
    if (this->stream.started())
        this->record.status = this->stream.status();
    this->record.total = this->context.now() - this->call.arrived;
    this->context.ports.observer.request_finished(this->record);
}

} // namespace roseworks::edge
