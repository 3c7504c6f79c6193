#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace roseworks
{

/** Estimates how often each model is requested, its adapters included.

    A request's weight halves after each half-life. The estimate only guides
    decisions; correctness doesn't depend on it.
*/
class demand_estimator
{
public:
    struct options
    {
        /// Long enough to distinguish a rare model, which gets a few requests a
        /// minute, from one that gets none.
        duration half_life = std::chrono::seconds(30);
    };

    explicit demand_estimator(options settings);

    /// Counts requests.
    /// @param servable Key of the model or of one of its adapters.
    void add(std::string_view servable, std::uint32_t requests, instant now);

    /// @param model Key of the model.
    /// @return Decayed count of requests for the model and its adapters.
    double decayed_count(const std::string& model, instant now) const;

    /// @param model Key of the model.
    /// @return Requests per second: the steady rate that would give the decayed
    ///         count.
    double requests_per_second(const std::string& model, instant now) const;

    /// Removes models whose decayed count is negligible.
    void tick(instant now);

private:
    struct row
    {
        double count = 0;
        instant updated;
    };

    double decayed(const row& counter, instant now) const;

    options settings;
    std::unordered_map<std::string, row> rows; ///< by model key
};

} // namespace roseworks
