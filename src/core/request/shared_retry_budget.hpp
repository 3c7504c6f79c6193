#pragma once

#include <roseworks/instant.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace roseworks
{

/** This router's part of the retries that all routers together may send to one
    service within a window.

    Load pattern: a service loses servers and every request on them fails at
    once, at all routers. All routers share one allowance of so many retries
    for each request of the window, plus a fixed number; a router that keeps to
    its own requests' share and an equal part of the fixed number needs no word
    with the others. Counts slide by tenths of the window. Hint.
*/
class shared_retry_budget
{
public:
    struct options
    {
        double ratio = 0.2; ///< retries for each request
        double extra = 50;  ///< retries beside them, all routers
        duration window = std::chrono::seconds(10);
        /// Used of both: requests counted here may be in another window there.
        double caution = 0.7;
    };

    explicit shared_retry_budget(options settings);

    /// A caller's request for the service has arrived.
    void requested(instant now);

    /// @param routers that share the allowance, this one included.
    /// @return        Whether a retry may be sent; counts it.
    bool withdraw(std::size_t routers, instant now);

    /// @return Retries that may be sent now.
    std::size_t left(std::size_t routers, instant now);

private:
    static constexpr std::size_t part_count = 10;

    struct part
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    void advance(instant now);

    options settings;
    std::array<part, part_count> parts{};
    std::int64_t newest = 0; ///< number of the newest part
    bool started = false;
};

} // namespace roseworks
