#pragma once

#include "tools/demo/demo_fleet.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace roseworks::tools
{

/// One call as its caller saw it.
struct call_outcome
{
    std::string request_id;
    unsigned status = 0; ///< 0: no whole answer
    std::string verdict;
    std::string reason; ///< of a refusal
    std::string body;
    std::string echoed_id;
    std::chrono::milliseconds took{};
    std::string failure; ///< why there was no whole answer

    bool answered() const
    {
        return this->status == 200 && this->verdict == "answered";
    }
};

/// What a caller sends.
struct demo_call
{
    std::string target;
    std::string body;
    std::string request_id;
    std::string idempotency_key;
    std::chrono::milliseconds deadline{};
};

/// Sends one call to a router and waits for what comes of it.
call_outcome send_call(const endpoint& router, const demo_call& call);

/** Run functions at the same moment, each on a thread of its own.

    @param calls What to run.
    @return      Their results, in the same order.
*/
std::vector<call_outcome>
run_at_once(const std::vector<std::function<call_outcome()>>& calls);

/// @return `200 answered`, `503 not-run deadline` or `no answer: ...`.
std::string summary(const call_outcome& outcome);

/// Prints how many callers got what.
void print_groups(std::ostream& out, const std::vector<call_outcome>& outcomes);

/// @return The value below which `share` of the sorted values lie.
std::chrono::milliseconds
percentile(std::vector<std::chrono::milliseconds> values, double share);

} // namespace roseworks::tools
