#pragma once

#include "core/pace/pace_sample.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace roseworks
{

/// @param servable Key of a model or adapter.
/// @return         Hash of the model's key.
std::uint64_t pace_model(std::string_view servable);

/// Sums up the times that a router measured, by engine and model, until they
/// are reported.
class pace_observer
{
public:
    struct options
    {
        /// Maximum number of pairs of engine and model. Further ones aren't
        /// measured until the next report.
        std::size_t max_samples = 1024;
    };

    explicit pace_observer(options settings);

    /// @param run    Of an engine, as `server_life`.
    /// @param model  As `pace_model`.
    /// @param events Number of events whose time was measured.
    /// @param time   Sum of the times.
    void
    add(std::uint64_t run,
        std::uint64_t model,
        std::uint32_t events,
        duration time);

    /// @return What was added since the last call.
    std::vector<pace_sample> take();

private:
    struct sum
    {
        std::uint32_t events = 0;
        duration time{};
    };

    options settings;
    std::map<std::pair<std::uint64_t, std::uint64_t>, sum> sums;
};

} // namespace roseworks
