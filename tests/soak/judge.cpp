#include "tests/soak/judge.hpp"

#include "tests/soak/soak_fleet.hpp"
#include "tests/support/calls.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <utility>

namespace roseworks::test
{

namespace
{

using run_counts = std::map<std::string, std::uint64_t, std::less<>>;

run_counts counts_at(const boost::json::value& ledger, std::string_view key)
{
    run_counts counts;
    for (const auto& [name, count] : ledger.as_object().at(key).as_object())
        counts[std::string(name)] = count.to_number<std::uint64_t>();
    return counts;
}

std::uint64_t count_of(const run_counts& counts, const std::string& name)
{
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
}

bool is_poisoned(const call_record& call)
{
    return call.prompt.starts_with(poison_prompt);
}

std::int64_t milliseconds(steady_time::duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

judge::judge(
    std::vector<call_record> calls,
    const fleet& nodes,
    const ledger_watch& watch,
    const storm& faults,
    steady_time start)
    : calls(std::move(calls))
    , nodes(nodes)
    , watch(watch)
    , faults(faults)
    , start(start)
{
}

void judge::run()
{
    this->read_service();
    for (const call_record& call : this->calls)
        this->check_call(call);
    this->check_keys();
    this->check_engines();
    this->check_replicas();
    const auto audit = this->nodes.verify();
    if (audit.exit_code != 0)
    {
        this->report(
            "audit",
            "roseworks-audit --verify",
            std::chrono::steady_clock::now(),
            audit.output);
    }
    this->figure("calls", this->calls.size(), "calls");
    for (const auto& [name, count] : this->outcomes)
        this->figure(name, count, "calls");
    this->figure("calls_unseen", this->unseen_calls, "calls");
    this->figure("latest_answer_past_deadline", this->latest_ms, "ms");
    this->figure(
        "latest_answer_past_deadline_paused", this->latest_paused_ms, "ms");
    this->figure("resident_samples", this->watch.samples(), "samples");
}

const std::vector<broken_promise>& judge::broken() const
{
    return this->found;
}

const std::vector<std::string>& judge::error_answers() const
{
    return this->errors;
}

const std::map<std::string, std::string>& judge::figures() const
{
    return this->numbers;
}

void judge::read_service()
{
    const auto ledger = get_json(this->nodes.service_address(0), "/ledger");
    this->service_runs = counts_at(ledger, "by_request_id");
    this->service_key_runs = counts_at(ledger, "by_idempotency_key");
}

void judge::check_call(const call_record& call)
{
    const answer_check checked = check_answer(call);
    this->unseen_calls += this->unseen(call) ? 1 : 0;
    this->note_lateness(call);
    if (!call.key.empty())
    {
        this->key_begin.try_emplace(call.key, call.begin);
        if (call.kind != call_kind::dispatch)
            this->key_runs[call.key] += this->runs_of(call);
    }
    switch (checked.outcome)
    {
    case call_outcome::whole:
        ++this->outcomes["answered"];
        this->check_answered(call);
        break;
    case call_outcome::refused:
        ++this->outcomes["refused_" + checked.verdict + "_" + checked.reason];
        if (checked.verdict == "not-run")
            this->check_not_run(call);
        if (checked.verdict == "answered")
            this->note_error_answer(call);
        if (checked.reason == "blocked" && !is_poisoned(call))
            ++this->outcomes["blocked_without_crashing_request"];
        break;
    case call_outcome::untrue:
        this->report("whole_answer", call.request_id, call.end, checked.fault);
        break;
    case call_outcome::cut:
    case call_outcome::unreached:
    case call_outcome::dropped:
        this->check_ended(call, checked.outcome);
        break;
    }
}

void judge::check_ended(const call_record& call, call_outcome outcome)
{
    if (outcome == call_outcome::dropped)
    {
        this->report(
            "answer_or_refusal",
            call.request_id,
            call.begin,
            "no final answer; router r" + std::to_string(call.router + 1));
        return;
    }
    if (this->killed(call))
    {
        const bool began = outcome == call_outcome::cut;
        ++this->outcomes[began ? "cut_by_router_end" : "router_unreached"];
        return;
    }
    if (outcome == call_outcome::unreached && this->came_after_shutdown(call))
    {
        ++this->outcomes["router_unreached"];
        return;
    }
    this->report(
        "answer_or_refusal",
        call.request_id,
        call.end,
        "connection to router r" + std::to_string(call.router + 1) +
            " ended without its having been killed: " + call.reply.error +
            " after " + std::to_string(milliseconds(call.end - call.begin)) +
            " ms, " + std::to_string(call.reply.body.size()) +
            " bytes of body");
}

void judge::check_not_run(const call_record& call)
{
    const std::uint64_t runs = this->runs_of(call);
    if (runs > 0)
    {
        this->report(
            "not_run_is_true",
            call.request_id,
            call.end,
            std::to_string(runs) + " runs; router r" +
                std::to_string(call.router + 1) + " " + call.reply.body);
    }
}

void judge::check_answered(const call_record& call)
{
    // A completion under a key may be the answer of another call's run.
    const bool under_key = !call.key.empty();
    std::uint64_t runs = this->runs_of(call);
    if (under_key)
    {
        if (call.kind != call_kind::dispatch)
            return;
        runs = count_of(this->service_key_runs, call.key);
    }
    if (runs == 0 && !this->unseen(call))
    {
        this->report(
            "answered_has_run",
            call.request_id,
            call.end,
            "no run in any ledger; router r" + std::to_string(call.router + 1));
    }
}

void judge::note_error_answer(const call_record& call)
{
    this->errors.push_back(
        call.request_id + " " + std::to_string(call.reply.status) + " at " +
        std::to_string(milliseconds(call.end - this->start)) + " ms, " +
        std::to_string(this->runs_of(call)) + " runs; router r" +
        std::to_string(call.router + 1) + " replayed=" +
        call.reply.header("x-roseworks-replayed") + " " + call.reply.body);
}

void judge::note_lateness(const call_record& call)
{
    if (call.reply.status == 0)
        return;
    const auto past = milliseconds(call.end - call.begin - call.deadline);
    std::int64_t& latest =
        this->paused(call) ? this->latest_paused_ms : this->latest_ms;
    latest = std::max(latest, past);
}

void judge::check_keys()
{
    for (const auto& [key, runs] : this->service_key_runs)
    {
        if (runs > 1)
        {
            this->report(
                "at_most_once",
                key,
                this->key_begin[key],
                std::to_string(runs) + " runs on the service");
        }
    }
    for (const auto& [key, runs] : this->key_runs)
    {
        if (runs > 1)
        {
            this->report(
                "at_most_once",
                key,
                this->key_begin[key],
                std::to_string(runs) + " runs on engines");
        }
    }
}

void judge::check_engines()
{
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < this->watch.accounts().size(); ++i)
    {
        const engine_account& account = this->watch.accounts()[i];
        const std::string name = "e" + std::to_string(i + 1);
        if (account.rejected_memory > 0)
        {
            this->report(
                "memory",
                name,
                now,
                std::to_string(account.rejected_memory) +
                    " loads refused for memory");
        }
        if (account.peak_memory > soak_engine_mib)
        {
            this->report(
                "memory",
                name,
                now,
                std::to_string(account.peak_memory) + " MiB at the peak");
        }
        for (const auto& [servable, peak] : account.resident_peak)
        {
            if (peak > max_replicas(servable))
            {
                this->report(
                    "replicas",
                    name + " " + servable,
                    now,
                    std::to_string(peak) + " at once");
            }
        }
    }
}

void judge::check_replicas()
{
    for (const replica_excess& excess : this->watch.excesses())
    {
        this->report(
            "replicas", excess.servable, excess.seen, excess.residents);
    }
}

std::uint64_t judge::runs_of(const call_record& call) const
{
    if (call.kind == call_kind::dispatch)
        return count_of(this->service_runs, call.request_id);
    std::uint64_t runs = 0;
    for (const engine_account& account : this->watch.accounts())
        runs += count_of(account.runs, call.request_id);
    return runs;
}

bool judge::unseen(const call_record& call) const
{
    return call.kind != call_kind::dispatch &&
           std::ranges::any_of(
               this->watch.unseen(),
               [&](const outage& span)
               {
                   return overlaps(call, span);
               });
}

bool judge::killed(const call_record& call) const
{
    return std::ranges::any_of(
        this->faults.router_kills(),
        [&](const outage& span)
        {
            return span.which == call.router && overlaps(call, span);
        });
}

// No clock but this process's own is compared: a request that the kernel had
// taken before the signal was sent waits in the router's sockets, however late
// the router gets to run.
bool judge::came_after_shutdown(const call_record& call) const
{
    return std::ranges::any_of(
        this->faults.router_replacements(),
        [&](const outage& span)
        {
            const bool in_flight =
                call.reply.sent && *call.reply.sent < span.begin;
            return span.which == call.router && overlaps(call, span) &&
                   !in_flight;
        });
}

bool judge::paused(const call_record& call) const
{
    return std::ranges::any_of(
        this->faults.router_pauses(),
        [&](const outage& span)
        {
            return span.which == call.router && overlaps(call, span);
        });
}

void judge::report(
    std::string promise,
    std::string subject,
    steady_time at,
    std::string detail)
{
    this->found.push_back(
        {std::move(promise),
         std::move(subject),
         milliseconds(at - this->start),
         std::move(detail)});
}

void judge::figure(
    const std::string& name, std::uint64_t value, const char* unit)
{
    this->numbers[name] = std::to_string(value) + " " + unit;
}

} // namespace roseworks::test
