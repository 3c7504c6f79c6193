#include "tools/demo/caller.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <barrier>
#include <cmath>
#include <map>
#include <ostream>
#include <thread>

namespace roseworks::tools
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// How long after its deadline a caller still listens.
constexpr milliseconds patience{5000};

http_request to_request(const demo_call& call)
{
    http_request request;
    request.method = boost::beast::http::verb::post;
    request.target = call.target;
    request.body = call.body;
    request.headers = {
        {"X-Request-Id", call.request_id},
        {"X-Deadline-Ms", std::to_string(call.deadline.count())},
        {"X-Caller", "demo"}};
    if (!call.idempotency_key.empty())
    {
        request.headers.emplace_back("Idempotency-Key", call.idempotency_key);
    }
    return request;
}

call_outcome to_outcome(http_reply reply)
{
    call_outcome outcome;
    outcome.status = reply.status;
    outcome.verdict = reply.header("X-Roseworks-Verdict");
    outcome.echoed_id = reply.header("X-Request-Id");
    outcome.body = std::move(reply.body);
    const boost::json::object problem = parse_object(outcome.body);
    const auto* reason = problem.if_contains("reason");
    if (outcome.status != 200 && reason != nullptr && reason->is_string())
    {
        outcome.reason = reason->get_string().c_str();
    }
    return outcome;
}

} // namespace

call_outcome send_call(const endpoint& router, const demo_call& call)
{
    const auto start = steady_clock::now();
    call_outcome outcome = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<call_outcome>
        {
            BOOST_LEAF_AUTO(
                reply,
                http_call(router, to_request(call), call.deadline + patience));
            return to_outcome(std::move(reply));
        },
        [](const http_error& error)
        {
            call_outcome failed;
            failed.failure = error.detail;
            return failed;
        },
        []
        {
            return call_outcome();
        });
    outcome.request_id = call.request_id;
    outcome.took =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
    return outcome;
}

std::vector<call_outcome>
run_at_once(const std::vector<std::function<call_outcome()>>& calls)
{
    std::vector<call_outcome> outcomes(calls.size());
    std::barrier together(static_cast<std::ptrdiff_t>(calls.size()));
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < calls.size(); ++index)
    {
        threads.emplace_back(
            [&, index]
            {
                together.arrive_and_wait();
                outcomes[index] = calls[index]();
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    return outcomes;
}

std::string summary(const call_outcome& outcome)
{
    if (outcome.status == 0)
    {
        return "no answer: " + outcome.failure;
    }
    std::string text = std::to_string(outcome.status) + ' ' + outcome.verdict;
    return outcome.reason.empty() ? text : text + ' ' + outcome.reason;
}

void print_groups(std::ostream& out, const std::vector<call_outcome>& outcomes)
{
    std::map<std::string, std::size_t> groups;
    for (const call_outcome& outcome : outcomes)
    {
        ++groups[summary(outcome)];
    }
    for (const auto& [text, count] : groups)
    {
        out << "    " << count << " x " << text << '\n';
    }
}

milliseconds percentile(std::vector<milliseconds> values, double share)
{
    if (values.empty())
    {
        return {};
    }
    std::sort(values.begin(), values.end());
    const double rank = std::ceil(share * static_cast<double>(values.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return values[std::min(index, values.size() - 1)];
}

} // namespace roseworks::tools
