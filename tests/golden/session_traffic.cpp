#include "tests/golden/record_line.hpp"
#include "tests/golden/session.hpp"

#include <string>
#include <utility>

namespace roseworks::golden
{

namespace
{

constexpr duration hop = std::chrono::milliseconds(1);

std::string name_of(std::uint64_t call)
{
    return "call " + std::to_string(call);
}

std::string_view to_word(attempt_result::end how)
{
    switch (how)
    {
    case attempt_result::end::answered:
        return "answered";
    case attempt_result::end::refused_not_run:
        return "refused, not run";
    case attempt_result::end::not_sent:
        return "not sent";
    case attempt_result::end::broken:
        return "broken";
    case attempt_result::end::no_progress:
        return "no progress";
    case attempt_result::end::stopped:
        return "stopped";
    case attempt_result::end::caller_left:
        return "caller left";
    }
    return "unknown";
}

std::string_view to_word(claim_result::status status)
{
    switch (status)
    {
    case claim_result::status::granted:
        return "granted";
    case claim_result::status::held:
        return "held";
    case claim_result::status::expired:
        return "expired";
    case claim_result::status::unavailable:
        return "unavailable";
    }
    return "unknown";
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

} // namespace

void session::submit(std::size_t index, call what, duration deadline, bool once)
{
    router& target = *this->routers[index];
    request_info info;
    info.target = what.target;
    info.deadline = this->time + deadline;
    info.content = what.content;
    info.repeatable = !once;
    this->write(target.name, name_of(what.number) + " of " + what.target);
    const ticket request = target.traffic->submit(info, this->time);
    target.calls.emplace(request, std::move(what));
}

void session::handle(std::size_t index, const grant& given)
{
    router& target = *this->routers[index];
    const call& item = target.calls.at(given.request);
    this->write(
        target.name,
        name_of(item.number) + " granted: replica " +
            std::to_string(given.replica.value) + " on " +
            this->engine_of(given.engine) + ", attempt " +
            std::to_string(given.attempt));
    if (item.key == claim_key{} || item.claimed)
    {
        this->send(index, given);
        return;
    }
    target.granted[given.request] = given;
    std::vector<ticket>& same_key = target.claiming[item.key];
    same_key.push_back(given.request);
    if (same_key.size() == 1)
    {
        target.control->claim({item.key}, this->time);
    }
}

void session::handle(std::size_t index, const claim_result& result)
{
    router& target = *this->routers[index];
    auto waiting = target.claiming.extract(result.key);
    if (waiting.empty())
    {
        return;
    }
    claim_result told = result;
    for (const ticket request : waiting.mapped())
    {
        this->claim_decided(index, request, told);
        if (told.result == claim_result::status::granted)
        {
            told.result = claim_result::status::held;
        }
    }
}

void session::claim_decided(
    std::size_t index, ticket request, const claim_result& result)
{
    router& target = *this->routers[index];
    call& item = target.calls.at(request);
    const grant given = target.granted.extract(request).mapped();
    std::string line = name_of(item.number) + " claim of key " +
                       std::to_string(result.key.low) + " " +
                       std::string(to_word(result.result));
    if (result.result == claim_result::status::held)
    {
        line += " by a call that is " + std::string(to_string(result.outcome));
    }
    this->write(target.name, line);
    if (result.result == claim_result::status::granted)
    {
        item.claimed = true;
        this->send(index, given);
        return;
    }
    target.traffic->abandon(request, this->time);
    const bool held = result.result == claim_result::status::held;
    this->end_call(
        index,
        request,
        verdict::not_run,
        to_string(
            held ? refusal_reason::claim_held
                 : refusal_reason::log_unavailable));
}

void session::send(std::size_t index, const grant& given)
{
    router& target = *this->routers[index];
    call& item = target.calls.at(given.request);
    item.engine = given.engine;
    item.attempt = given.attempt;
    item.sent = this->time;
    test::fake_engine& engine = *this->engines.at(given.engine);
    const bool there = engine.has(given.replica);
    if (there)
    {
        engine.use(given.replica, this->time);
    }
    const auto how = there ? attempt_result::end::answered
                           : attempt_result::end::refused_not_run;
    this->to_router(
        index,
        there ? item.work : hop,
        [this, index, request = given.request, attempt = given.attempt, how]
        {
            this->attempt_over(index, request, attempt, how);
        });
}

void session::attempt_over(
    std::size_t index,
    ticket request,
    std::uint32_t attempt,
    attempt_result::end how)
{
    router& target = *this->routers[index];
    const auto place = target.calls.find(request);
    if (place == target.calls.end() || place->second.attempt != attempt ||
        !place->second.engine)
    {
        return;
    }
    call& item = place->second;
    this->write(
        target.name,
        name_of(item.number) + " attempt " + std::to_string(attempt) + " " +
            std::string(to_word(how)));
    item.engine = engine_id();
    attempt_result result;
    result.how = how;
    result.total = this->time - item.sent;
    result.first_byte = result.total;
    if (how == attempt_result::end::answered)
    {
        const servable_id used = this->folded.find_servable(item.target);
        target.control->used(used, this->time);
    }
    const dispatcher::finish ended =
        target.traffic->finished(request, result, this->time);
    if (ended.final_answer)
    {
        this->end_call(index, request, ended.outcome, to_string(ended.reason));
    }
}

void session::end_call(
    std::size_t index, ticket request, verdict outcome, std::string_view reason)
{
    router& target = *this->routers[index];
    const call item = target.calls.extract(request).mapped();
    std::string line =
        name_of(item.number) + " OUTCOME " + std::string(to_string(outcome));
    if (outcome != verdict::answered)
    {
        line += ", " + std::string(reason);
    }
    this->write(target.name, line);
    if (!item.claimed)
    {
        return;
    }
    claim_close close;
    close.key = item.key;
    close.outcome = to_claim_outcome(outcome);
    close.status = outcome == verdict::answered ? 200 : 503;
    target.control->close_claim(std::move(close), this->time);
}

void session::handle(std::size_t index, const refusal& refused)
{
    this->end_call(
        index, refused.request, refused.outcome, to_string(refused.reason));
}

void session::handle(std::size_t index, const demand& what)
{
    // Told again and again while requests wait: not written.
    const session_id this_router;
    this->routers[index]->control->demanded(
        {what.servable, what.urgency, what.waiting, this_router}, this->time);
}

void session::handle(std::size_t index, const crash_seen& what)
{
    this->write(
        this->routers[index]->name,
        "crash of " + this->engine_of(what.engine) + " seen");
    this->routers[index]->control->crash_seen(
        what.request, what.engine, this->time);
    this->routers[index]->traffic->crash_examined(
        what, crash_finding::crashed, this->time);
}

void session::handle(std::size_t index, const permit_wanted& what)
{
    // No engine of a session names a rate limit: a line of it is a difference.
    this->write(
        this->routers[index]->name,
        "permit for " + this->engine_of(what.server.engine) + " wanted");
}

void session::handle(std::size_t index, const place_released& what)
{
    // No engine of a session is brittle: a line of it is a difference.
    this->write(
        this->routers[index]->name,
        "place at " + this->engine_of(what.server.engine) + " released");
}

void session::handle(std::size_t index, const permit_cancelled& what)
{
    this->write(
        this->routers[index]->name,
        "permit for " + this->engine_of(what.server.engine) + " cancelled");
}

} // namespace roseworks::golden
