#include "tools/load/ledger_judge.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>

#include <cstddef>

namespace roseworks::tools
{

namespace
{

namespace json = boost::json;

constexpr std::chrono::seconds read_limit(10);

/// A count, or the sum of a table of counts.
std::uint64_t sum_of(const json::object& ledger, std::string_view name)
{
    const json::value* value = ledger.if_contains(name);
    boost::system::error_code error;
    if (value == nullptr)
    {
        return 0;
    }
    if (!value->is_object())
    {
        const auto count = value->to_number<std::uint64_t>(error);
        return error ? 0 : count;
    }
    std::uint64_t total = 0;
    for (const auto& item : value->get_object())
    {
        const auto count = item.value().to_number<std::uint64_t>(error);
        total += error ? 0 : count;
    }
    return total;
}

void add_executions(const json::object& ledger, ledger_totals& totals)
{
    const json::value* list = ledger.if_contains("executions");
    if (list == nullptr || !list->is_array())
    {
        return;
    }
    for (const json::value& item : list->get_array())
    {
        const json::object* execution = item.if_object();
        const json::value* id = execution == nullptr
                                    ? nullptr
                                    : execution->if_contains("request_id");
        if (id != nullptr && id->is_string())
        {
            totals.executions[std::string(id->get_string())] +=
                sum_of(*execution, "count");
        }
    }
}

} // namespace

boost::leaf::result<ledger_totals>
read_ledgers(const std::vector<endpoint>& engines)
{
    ledger_totals totals;
    http_request request;
    request.target = "/ledger";
    for (const endpoint& engine : engines)
    {
        BOOST_LEAF_AUTO(reply, http_call(engine, request, read_limit));
        boost::system::error_code error;
        const json::value parsed = json::parse(reply.body, error);
        if (error || !parsed.is_object())
        {
            return boost::leaf::new_error(
                http_error{true, "unreadable ledger of " + to_string(engine)});
        }
        const json::object& ledger = parsed.get_object();
        add_executions(ledger, totals);
        totals.loads += sum_of(ledger, "loads");
        totals.unloads += sum_of(ledger, "unloads");
        totals.failed_loads += sum_of(ledger, "failed_loads");
        totals.rejected_memory += sum_of(ledger, "rejected_memory");
        totals.stale_accepted += sum_of(ledger, "stale_accepted");
    }
    return totals;
}

ledger_verdict judge_by_ledgers(
    std::span<const planned_call> calls,
    std::span<const call_result> results,
    const ledger_totals& totals)
{
    ledger_verdict verdict;
    for (std::size_t i = 0; i < calls.size(); ++i)
    {
        const auto found = totals.executions.find(calls[i].request_id);
        const std::uint64_t ran =
            found == totals.executions.end() ? 0 : found->second;
        const call_outcome outcome = results[i].outcome;
        verdict.false_not_run +=
            outcome == call_outcome::not_run && ran != 0 ? 1 : 0;
        verdict.answered_unrun +=
            outcome == call_outcome::answered && ran == 0 ? 1 : 0;
        verdict.doubled_once += calls[i].once && ran > 1 ? 1 : 0;
        verdict.repeated += !calls[i].once && ran > 1 ? 1 : 0;
    }
    return verdict;
}

} // namespace roseworks::tools
