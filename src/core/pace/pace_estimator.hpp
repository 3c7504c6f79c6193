#pragma once

#include "core/pace/pace_class.hpp"
#include "core/pace/pace_sample.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks
{

/// An engine's pace differs noticeably from the one that was last announced.
struct pace_change
{
    std::string engine;
    std::uint32_t percent = 100; ///< the new estimate
    pace_class before = pace_class::usual;
    pace_class after = pace_class::usual;
};

/** Estimates the pace of engines at the placement owner: the time that an
   engine takes, in percent of the mean over the engines.

    The time between events is modelled as a factor of the model times a factor
    of the engine, since the engines run different models. The factors are
    fitted to the means of the pairs of engine and model.

    A router's mean is clipped to within a factor of 1.5 of the median over the
    routers, and a router has at most a third of the weight where three or more
    report. So a router that reports invalid values changes an estimate by at
    most a sixth.

    Deterministic. Its memory is bounded by the number of known runs.
*/
class pace_estimator
{
public:
    /// The pace of an engine without an estimate.
    static constexpr std::uint32_t mean_pace = 100;

    struct options
    {
        /// Time constant with which earlier samples lose their weight. It is
        /// long compared with the 600 ms of load from other workloads: with 5 s
        /// such load changed estimates by up to 12 %.
        duration memory = std::chrono::seconds(10);
        /// Without samples an estimate is kept for `fade_from`, and is back at
        /// the mean at `fade_until`.
        duration fade_from = std::chrono::seconds(2);
        duration fade_until = std::chrono::seconds(30);
        std::size_t max_models = 8; ///< of an engine
        /// Maximum number of routers counted separately, for each engine and
        /// model. Further ones share these entries.
        std::size_t max_reporters = 32;
    };

    explicit pace_estimator(options settings);

    /// A run of an engine is in the registry. Earlier samples are discarded if
    /// the run is new. Samples of other runs are ignored.
    void engine_listed(const std::string& engine, std::uint64_t run);

    void engine_removed(const std::string& engine);

    /// Discards all samples and estimates.
    void clear();

    /// Samples of a router were received.
    void
    add(std::string_view router,
        std::span<const pace_sample> samples,
        instant now);

    /// Estimates anew.
    /// @return The engines whose estimate has changed noticeably.
    std::vector<pace_change> update(instant now);

    /// @return The latest estimate of the engine's present run; empty if too
    ///         few samples of it were received.
    std::optional<std::uint32_t> percent(const std::string& engine) const;

    /// @return Number of engines in a class.
    std::size_t count(pace_class wanted) const;

private:
    /// The weighted samples of one router, or of some that share an entry.
    struct reporter
    {
        std::uint64_t router = 0; ///< hash of its name
        double events = 0;
        double time_us = 0;
        instant updated;
    };

    /// An engine's samples for one model.
    struct cell
    {
        std::uint64_t model = 0;
        std::vector<reporter> reporters;
        instant updated;
        bool changed = false;
        // Results for the fit.
        double log_time = 0;
        double weight = 0;
    };

    struct run
    {
        std::uint64_t number = 0; ///< as `server_life`
        std::vector<cell> cells;
        instant updated;
        double log_factor = 0;
        double events = 0; ///< of all models, after decay
        std::optional<std::uint32_t> percent;
        std::uint32_t announced = mean_pace;
        pace_class announced_class = pace_class::usual;
    };

    static bool is_valid(const pace_sample& sample);
    cell* cell_of(run& of, std::uint64_t model);
    reporter& reporter_of(cell& of, std::uint64_t router) const;
    /// @return Share of its weight that a sample of this age has left.
    double kept(duration age) const;
    void summarise(cell& one) const;
    void fit(instant now);
    static std::optional<pace_change>
    take_change(const std::string& id, run& engine);
    double faded(double percent, duration age) const;

    options settings;
    std::map<std::string, run, std::less<>> runs; ///< by engine
    std::unordered_map<std::uint64_t, run*> by_number;
};

} // namespace roseworks
