#pragma once

#include "core/pace/pace_estimator.hpp"
#include "core/swapping/demand_tracker.hpp"
#include "core/swapping/engine_tracker.hpp"
#include "core/swapping/load_forecast.hpp"
#include "core/swapping/peer_messages.hpp"
#include "ports/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::app
{

/** Announces to the routers which models the engines hold, according to the
    placement owner.

    Changes are announced at once to routers that wait for the model or used it
    lately, and to all others within a byte budget. Announcements may be lost,
    so the periodic beacon repeats the state of a few engines in turn.

    Used on the control thread only. Has to outlive the last run of its
    io_context.
*/
class residency_announcer
{
public:
    struct options
    {
        /// Interval between beacons. A beacon goes to all routers; it shows
        /// that there is an owner, and which models some engines hold.
        std::chrono::milliseconds beacon_interval{250};
        /// Maximum number of engines in a beacon.
        std::size_t max_beacon_engines = 12;
        /// Changes within this time are announced together.
        std::chrono::milliseconds batch_delay{1};
        /// Byte budget for announcements to routers that don't wait for them:
        /// in total on the owner's link, in bytes per second.
        ///
        /// Beyond the budget, a change is announced only to routers that wait
        /// for the model or used it lately. The others ask when they need the
        /// model. They learn of an unload from the engine, at the cost of a
        /// refused request each: a fifth of all arrivals with 71 routers, 90
        /// engines and 0.8 KB/s per router.
        double budget_bytes_per_second = 1'000'000;
        /// The same budget per receiving router, in bytes per second.
        double budget_bytes_per_router = 8'500;
        /// Encoded size of one engine's state, with names of usual length.
        std::size_t encoded_engine_bytes = 150;
        /// Maximum number of load forecasts in an announcement; the first ones
        /// are sent.
        std::size_t max_forecasts = 24;
    };

    /// Sends an announcement to routers, which may include this one.
    using sender = std::function<void(
        const owner_announcement&, std::span<const std::string> routers)>;
    /// @return The names of all routers, including this one.
    using router_lister = std::function<std::vector<std::string>()>;

    /// @param paces Null: no pace is announced.
    residency_announcer(
        boost::asio::io_context& loop,
        options settings,
        std::string own_name,
        const clock_port& clock,
        const engine_tracker& engines,
        const demand_tracker& needs,
        const pace_estimator* paces,
        router_lister routers,
        sender send);

    void start();
    void stop();

    /// Sets the fencing number under which this router owns placement; empty if
    /// it doesn't. A new owner is announced at once, so that no other router
    /// applies for ownership.
    void set_fence(std::optional<std::uint64_t> fence);

    /// The term has expired without a renewal. This is announced at once, so
    /// that another router applies for ownership. The effects of earlier orders
    /// are still announced.
    void term_ended();

    /// Sets the forecasts of when models that no engine holds will be ready. A
    /// new model among them is announced at once.
    void set_forecasts(std::span<const load_forecast> forecasts);

    /// The models or adapters that an engine holds have changed.
    /// @param servable Key of the changed model or adapter; empty for all.
    void engine_changed(const std::string& engine, std::string_view servable);

    /// A router needs the state of an engine.
    void announce_to(const std::string& router, const std::string& engine);

private:
    void
    enqueue(const std::string& engine, std::span<const std::string> recipients);
    /// Takes the bytes for announcing one engine to the given number of routers
    /// out of the budget.
    /// @return Whether the budget was sufficient.
    bool take_budget(std::size_t router_count);
    owner_announcement make_announcement() const;
    /// Adds the present state of an engine.
    void add_engine(
        owner_announcement& announcement, const engine_state& engine) const;
    void announce_changes();
    void schedule_beacon();
    void send_beacon();

    options settings;
    std::string name;
    const clock_port& clock;
    const engine_tracker& engines;
    const demand_tracker& needs;
    const pace_estimator* paces;
    router_lister routers;
    sender send;
    std::optional<std::uint64_t> fence; ///< empty if this isn't the owner
    /// Engines whose changes are to be announced, by router.
    std::map<std::string, std::set<std::string>> pending_changes;
    double budget_bytes = 0;
    instant budget_updated;
    std::vector<load_forecast> forecasts;
    std::string last_beacon_engine; ///< last engine in the latest beacon
    boost::asio::steady_timer batch_timer;
    boost::asio::steady_timer beacon_timer;
    bool batch_scheduled = false; ///< whether `batch_timer` is running
    bool expired = false; ///< whether the term has expired without a renewal
    bool stopped = false;
};

} // namespace roseworks::app
