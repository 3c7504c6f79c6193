#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace roseworks
{

/** How often each model is asked for, its adapters included. Hint.

    Counts fade: a model that nobody asks for any more counts half after each
    half-life.
*/
class demand_meter
{
public:
    struct options
    {
        /// Long enough for a rare model, which is asked for some times a
        /// minute, to be told from one that isn't asked for at all.
        duration half_life = std::chrono::seconds(30);
    };

    explicit demand_meter(options settings);

    /// @param servable Key of the model or of one of its adapters.
    void add(std::string_view servable, std::uint32_t requests, instant now);

    /// @param model Its key.
    /// @return Requests for it, those long ago counted less.
    double of(const std::string& model, instant now) const;

    /// @param model Its key.
    /// @return The same as requests a second, were they always as many.
    double rate(const std::string& model, instant now) const;

    /// Forgets models that were hardly asked for.
    void tick(instant now);

private:
    struct row
    {
        double count = 0;
        instant counted;
    };

    double faded(const row& counted, instant now) const;

    options settings;
    std::unordered_map<std::string, row> rows; ///< by the model's key
};

} // namespace roseworks
