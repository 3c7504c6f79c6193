#pragma once

#include "standins/common/notifier.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <initializer_list>
#include <vector>

namespace roseworks::standins
{

/// How a stand-in misbehaves.
enum class fault
{
    up,           ///< it doesn't
    down,         ///< everything is refused
    slow,         ///< answers come late
    hang,         ///< nothing moves until the fault is changed
    lose_answers, ///< the effect takes place, the answer is not sent
    crash_on      ///< a request that holds a certain text ends the process
};

/// The fault that `/control` has set.
class fault_switch
{
public:
    /// @param offered the faults that this stand-in can show.
    fault_switch(std::initializer_list<fault> offered);

    /// Reads `mode` and `delay_ms` of a command; without `mode` nothing
    /// changes. Throws `bad_request` when the mode is not offered.
    void apply(const boost::json::object& command);

    [[nodiscard]] bool is(fault value) const;

    /// Returns at once, or when `hang` has ended.
    boost::asio::awaitable<void> pass();

    /// Waits for `delay_ms` while the fault is `slow`.
    boost::asio::awaitable<void> delay_answer();

private:
    std::vector<fault> allowed;
    fault current = fault::up;
    std::chrono::milliseconds delay{0};
    notifier changed;
};

} // namespace roseworks::standins
