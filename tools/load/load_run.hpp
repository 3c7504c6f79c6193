#pragma once

#include "tools/load/call_result.hpp"
#include "tools/load/engine_watch.hpp"
#include "tools/load/load_options.hpp"
#include "tools/load/planned_call.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace roseworks::tools
{

/** One run of a plan against one target, open loop: a call goes out at its time
    whether or not earlier ones were answered. Prints a line a second.
*/
class load_run
{
public:
    /** @param options Limits; outlive this.
        @param target  Where to send; outlives this.
        @param calls   The plan in order of time; outlives this.
        @param label   Begins each line of progress. */
    load_run(
        const load_options& options,
        const load_target& target,
        std::span<const planned_call> calls,
        std::string label = {});

    /// Send all, wait for all answers; once.
    void run();

    const std::vector<call_result>& results() const;
    const std::vector<fleet_sample>& samples() const;

private:
    using clock = std::chrono::steady_clock;

    boost::asio::awaitable<void> send_all();
    boost::asio::awaitable<void> send_one(std::size_t index);
    boost::asio::awaitable<void> show_progress();

    const load_options& options;
    const load_target& target;
    std::span<const planned_call> calls;
    std::string label;
    boost::asio::io_context context;
    clock::time_point start;
    engine_watch* watch = nullptr;
    std::vector<call_result> received;
    std::vector<fleet_sample> seen;
    std::size_t sent = 0;
    std::size_t in_flight = 0;
    std::size_t done = 0;
    std::size_t answered = 0;
};

} // namespace roseworks::tools
