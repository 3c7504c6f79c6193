#include "tools/demo/scenes.hpp"

#include "tools/demo/caller.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <ostream>
#include <set>

namespace roseworks::tools
{

namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::size_t burst_size = 60;
constexpr milliseconds burst_deadline{10'000};
constexpr milliseconds call_deadline{5000};
constexpr milliseconds late_tolerance{1000};
constexpr std::uint64_t tokens = 8;
constexpr double median = 0.5;
constexpr double tail = 0.99;

std::string prompt_body(const demo_fleet& fleet, std::string text, bool stream)
{
    const json::object message{{"role", "user"}, {"content", std::move(text)}};
    return json::serialize(json::object{
        {"model", fleet.model},
        {"messages", json::array{message}},
        {"max_tokens", tokens},
        {"stream", stream}});
}

const endpoint& router_at(const demo_fleet& fleet, std::size_t index)
{
    return fleet.routers[index % fleet.routers.size()];
}

std::vector<call_outcome> send_burst(const demo_fleet& fleet)
{
    std::vector<std::function<call_outcome()>> calls;
    for (std::size_t index = 0; index < burst_size; ++index)
    {
        demo_call call;
        call.target = "/v1/chat/completions";
        call.request_id = "burst-" + std::to_string(index);
        call.body = prompt_body(
            fleet, "tractor stops, row " + std::to_string(index), false);
        call.deadline = burst_deadline;
        calls.emplace_back(
            [&fleet, index, call]
            {
                return send_call(router_at(fleet, index), call);
            });
    }
    return run_at_once(calls);
}

/// Request ids that an engine really ran.
std::set<std::string> executed_requests(const demo_fleet& fleet)
{
    std::set<std::string> ran;
    for (const endpoint& engine : fleet.engines)
    {
        const json::object ledger = read_ledger(engine);
        const json::value* const list = ledger.if_contains("executions");
        if (list == nullptr || !list->is_array())
        {
            continue;
        }
        for (const json::value& item : list->get_array())
        {
            const auto* id = item.get_object().if_contains("request_id");
            if (id != nullptr && id->is_string())
            {
                ran.insert(id->get_string().c_str());
            }
        }
    }
    return ran;
}

void check_outcome(
    const call_outcome& outcome,
    const std::set<std::string>& ran,
    promise_check& promises)
{
    const std::string id = outcome.request_id + ": ";
    promises.require(
        outcome.status != 0, id + "dropped without an answer or a refusal");
    promises.require(
        outcome.took <= burst_deadline + late_tolerance,
        id + "neither served nor refused in time");
    promises.require(
        outcome.status == 0 || outcome.echoed_id == outcome.request_id,
        id + "got another request's answer");
    promises.require(
        outcome.verdict != "not-run" || !ran.contains(outcome.request_id),
        id + "refused as not run, yet it ran");
    const bool whole = parse_object(outcome.body).contains("choices");
    promises.require(
        !outcome.answered() || whole, id + "answered in part only");
}

/// Sum over the engines of a servable's entry in a part of their ledgers.
std::uint64_t
sum_of(const demo_fleet& fleet, std::string_view part, std::string_view name)
{
    std::uint64_t sum = 0;
    for (const endpoint& engine : fleet.engines)
    {
        const json::object ledger = read_ledger(engine);
        const json::value* const counts = ledger.if_contains(part);
        if (counts != nullptr && counts->is_object())
        {
            sum += number_in(counts->get_object(), name);
        }
    }
    return sum;
}

} // namespace

void show_burst(
    const demo_fleet& fleet, promise_check& promises, std::ostream& out)
{
    out << "burst of " << burst_size << " requests for the cold model "
        << fleet.model << " at " << fleet.routers.size() << " routers:\n";
    const std::vector<call_outcome> outcomes = send_burst(fleet);
    print_groups(out, outcomes);
    const std::set<std::string> ran = executed_requests(fleet);
    std::vector<milliseconds> answered;
    for (const call_outcome& outcome : outcomes)
    {
        check_outcome(outcome, ran, promises);
        if (outcome.answered())
        {
            answered.push_back(outcome.took);
        }
    }
    promises.require(!answered.empty(), "nobody of the burst was answered");
    out << "cold start: p50 " << percentile(answered, median).count()
        << " ms, p99 " << percentile(answered, tail).count() << " ms over "
        << answered.size() << " answers\n";
}

void show_stream(
    const demo_fleet& fleet, promise_check& promises, std::ostream& out)
{
    demo_call call;
    call.target = "/v1/chat/completions";
    call.request_id = "stream-1";
    call.body = prompt_body(fleet, "pump stops", true);
    call.deadline = call_deadline;
    const call_outcome outcome = send_call(router_at(fleet, 1), call);
    std::size_t events = 0;
    constexpr std::string_view event = "data: {";
    for (std::size_t at = outcome.body.find(event); at != std::string::npos;
         at = outcome.body.find(event, at + 1))
    {
        ++events;
    }
    const bool done = outcome.body.find("data: [DONE]") != std::string::npos;
    out << "stream: " << summary(outcome) << ", " << events << " events, "
        << (done ? "ended by [DONE]" : "not ended by [DONE]") << '\n';
    promises.require(
        outcome.answered() && done && events >= tokens,
        "the stream did not arrive whole");
}

void show_dispatch(
    const demo_fleet& fleet, promise_check& promises, std::ostream& out)
{
    std::vector<std::function<call_outcome()>> calls;
    for (std::size_t index = 0; index < 2; ++index)
    {
        demo_call call;
        call.target = "/services/" + fleet.once_service + "/send";
        call.request_id = "dispatch-" + std::to_string(index);
        call.idempotency_key = "mechanic-4711";
        call.body = R"({"estate": 12, "machine": "harvester"})";
        call.deadline = call_deadline;
        calls.emplace_back(
            [&fleet, index, call]
            {
                return send_call(router_at(fleet, index), call);
            });
    }
    const std::vector<call_outcome> outcomes = run_at_once(calls);
    out << "one dispatch sent twice, at two routers:\n";
    print_groups(out, outcomes);
    const json::object ledger = read_ledger(fleet.service);
    const json::value* const keys = ledger.if_contains("by_idempotency_key");
    std::uint64_t runs = 0;
    if (keys != nullptr && keys->is_object())
    {
        for (const auto& [key, count] : keys->get_object())
        {
            json::error_code error;
            runs += count.to_number<std::uint64_t>(error);
        }
    }
    out << "    it ran " << runs << " time(s)\n";
    promises.require(runs == 1, "the dispatch did not run exactly once");
    const auto answered = std::count_if(
        outcomes.begin(),
        outcomes.end(),
        [](const call_outcome& outcome)
        {
            return outcome.answered();
        });
    promises.require(answered >= 1, "nobody was told of the dispatch");
}

void show_service(
    const demo_fleet& fleet, promise_check& promises, std::ostream& out)
{
    demo_call call;
    call.target = "/services/" + fleet.repeatable_service + "/lookup";
    call.request_id = "lookup-1";
    call.body = R"({"claim": 88})";
    call.deadline = call_deadline;
    const call_outcome outcome = send_call(router_at(fleet, 2), call);
    out << "plain service: " << summary(outcome) << '\n';
    promises.require(outcome.answered(), "the plain service did not answer");
}

void show_ledgers(
    const demo_fleet& fleet, promise_check& promises, std::ostream& out)
{
    const std::uint64_t peak = sum_of(fleet, "resident_peak", fleet.model);
    out << "replicas of " << fleet.model << ": " << peak << " on the engines, "
        << fleet.max_replicas << " declared\n";
    promises.require(
        peak <= fleet.max_replicas, "more replicas loaded than declared");
    const json::object store = read_ledger(fleet.weight_store);
    const json::value* const loads = store.if_contains("loads");
    const std::uint64_t used = loads != nullptr && loads->is_object()
                                   ? number_in(loads->get_object(), fleet.model)
                                   : 0;
    const std::uint64_t at_once = number_in(store, "peak_concurrency");
    const std::uint64_t refused = number_in(store, "over_rate");
    out << "weight store: " << used << " load(s) of it, " << at_once
        << " at once, " << fleet.store_slots << " slots, " << refused
        << " over its rate\n";
    promises.require(
        at_once <= fleet.store_slots, "more loads at once than store slots");
    promises.require(refused == 0, "loads over the weight store's rate");
}

} // namespace roseworks::tools
