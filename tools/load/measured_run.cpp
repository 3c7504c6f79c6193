#include "tools/load/measured_run.hpp"

#include "tools/common/exit_code.hpp"
#include "tools/common/log_history.hpp"
#include "tools/load/load_run.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>

namespace roseworks::tools
{

namespace
{

constexpr std::chrono::seconds ask_limit(10);

/// What the routers serve, in name order.
boost::leaf::result<std::vector<std::string>>
list_models(const endpoint& router)
{
    http_request request;
    request.target = "/v1/models";
    BOOST_LEAF_AUTO(reply, http_call(router, request, ask_limit));
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(reply.body, error);
    const boost::json::object* answer = parsed.if_object();
    const boost::json::value* data =
        answer == nullptr ? nullptr : answer->if_contains("data");
    std::vector<std::string> names;
    if (data != nullptr && data->is_array())
    {
        for (const boost::json::value& item : data->get_array())
        {
            const boost::json::object* model = item.if_object();
            const boost::json::value* id =
                model == nullptr ? nullptr : model->if_contains("id");
            if (id != nullptr && id->is_string())
            {
                names.emplace_back(id->get_string());
            }
        }
    }
    if (names.empty())
    {
        return boost::leaf::new_error(input_error{
            "the router at " + to_string(router) + " serves no models"});
    }
    std::sort(names.begin(), names.end());
    return names;
}

/// Replicas that the log's records allow at most, adapters' included.
boost::leaf::result<std::uint64_t> read_declared(const load_target& target)
{
    if (!target.log)
    {
        return 0;
    }
    log_client client(*target.log, ask_limit);
    log_history history(client, {});
    BOOST_LEAF_CHECK(history.load());
    std::uint64_t sum = 0;
    history.state().for_each_servable(
        [&sum](const servable_view& one)
        {
            sum += one.max_replicas;
        });
    return sum;
}

} // namespace

load_outcome measured_run::outcome() const
{
    load_outcome view;
    view.calls = this->calls;
    view.results = this->results;
    view.samples = this->samples;
    view.has_ledgers = this->has_ledgers;
    view.before = this->before;
    view.after = this->after;
    view.verdict = this->verdict;
    view.declared = this->declared;
    return view;
}

boost::leaf::result<measured_run> measure_run(
    const load_options& options,
    const load_target& target,
    const std::string& name,
    const std::string& label)
{
    measured_run run;
    BOOST_LEAF_AUTO(models, list_models(target.routers.front()));
    run.calls = plan_calls(options, models, name);
    run.has_ledgers = !target.engines.empty();
    BOOST_LEAF_ASSIGN(run.declared, read_declared(target));
    BOOST_LEAF_ASSIGN(run.before, read_ledgers(target.engines));
    load_run sender(options, target, run.calls, label);
    sender.run();
    BOOST_LEAF_ASSIGN(run.after, read_ledgers(target.engines));
    run.results = sender.results();
    run.samples = sender.samples();
    if (run.has_ledgers)
    {
        run.verdict = judge_by_ledgers(run.calls, run.results, run.after);
    }
    return run;
}

void append_slice(
    measured_run& whole,
    const measured_run& slice,
    std::chrono::nanoseconds start,
    std::chrono::nanoseconds length)
{
    if (whole.calls.empty())
    {
        whole.before = slice.before;
    }
    for (planned_call call : slice.calls)
    {
        call.at += start;
        whole.calls.push_back(std::move(call));
    }
    whole.results.insert(
        whole.results.end(), slice.results.begin(), slice.results.end());
    for (fleet_sample sample : slice.samples)
    {
        if (sample.at.count() < 0 || sample.at > length)
        {
            continue;
        }
        sample.at += start;
        whole.samples.push_back(sample);
    }
    whole.has_ledgers = slice.has_ledgers;
    whole.after = slice.after;
    whole.declared = slice.declared;
    whole.verdict.false_not_run += slice.verdict.false_not_run;
    whole.verdict.answered_unrun += slice.verdict.answered_unrun;
    whole.verdict.doubled_once += slice.verdict.doubled_once;
    whole.verdict.repeated += slice.verdict.repeated;
}

} // namespace roseworks::tools
