#pragma once

#include <roseworks/instant.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace roseworks
{

/// A router that opens connections to backend servers for others.
struct relay_router
{
    std::string name;
    std::string address; ///< ip:port
    std::string data_centre;
};

/** Chooses the router through which a connection to a backend server is opened.

    Draws the first router for a connection among those of this data centre,
    further ones among the others. A router that didn't answer, or that can't
    open connections itself, is left out for a while.

    Not thread-safe. Deterministic for a seed.
*/
class relay_selector
{
public:
    struct options
    {
        std::string data_centre; ///< of this router
        /// How long a router is left out. It doubles with each failure in a row
        /// up to the maximum.
        duration min_pause = std::chrono::milliseconds(500);
        duration max_pause = std::chrono::seconds(4);
        std::uint64_t seed = 1;
    };

    explicit relay_selector(options settings);

    /// @param all All routers except this one.
    void set_routers(std::vector<relay_router> all);

    /// @param tried Names of routers that aren't chosen.
    /// @return      Null if there is no router.
    const relay_router* choose(std::span<const std::string> tried, instant now);

    void succeeded(const std::string& router);
    void failed(const std::string& router, instant now);

    bool has_routers() const
    {
        return !this->routers.empty();
    }

private:
    struct pause
    {
        duration length{};
        instant until;
    };

    options settings;
    std::vector<relay_router> routers;
    std::map<std::string, pause> pauses; ///< by name
    std::mt19937_64 random;
};

} // namespace roseworks
