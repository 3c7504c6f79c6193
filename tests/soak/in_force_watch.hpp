#pragma once

#include "tests/soak/call_book.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace roseworks::test
{

/** Measures how long accepted changes take until all routers have folded them.

    A router that doesn't answer, since a fault stopped it, is left out. The
    figures are the machine's, no verdict.
*/
class in_force_watch
{
public:
    /// @param book    Knows where the routers listen; outlives this.
    /// @param routers How many there are.
    in_force_watch(const call_book& book, std::size_t routers);

    /** An operator's program has ended.

        @param begin  When it was started.
        @param output What it printed; only an accepted change is followed.
    */
    void applied(
        std::chrono::steady_clock::time_point begin, const std::string& output);

    /// Wait for the changes that are followed.
    /// @return Their times from start to in force, in rising order.
    std::vector<std::chrono::milliseconds> finish();

private:
    void
    follow(std::chrono::steady_clock::time_point begin, std::uint64_t offset);
    bool in_force(std::uint64_t offset) const;

    const call_book& book;
    std::size_t routers;
    std::mutex mutex; ///< of what follows
    std::vector<std::chrono::milliseconds> times;
    std::vector<std::jthread> threads;
};

} // namespace roseworks::test
