#pragma once

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

/** Tells the routers what the engines hold, as the placement owner knows it.

    At once to those who wait for a model or used it lately, and to all others
    within a budget of bytes. Words may be lost: some of all is told in turn.

    Belongs to the control thread; has to outlive its context's last run.
*/
class residency_teller
{
public:
    struct options
    {
        /// Between two words to all routers, which show that there is an
        /// owner and what some of the engines hold, in turn.
        std::chrono::milliseconds beacon{250};
        std::size_t beacon_engines = 12;
        /// Changes that come together are told together.
        std::chrono::milliseconds pause{1};
        /// For words to those who don't wait for them: of the owner's link, and
        /// for each router that hears them. What is over it is told to those
        /// alone who wait for a model, or used it lately: the others ask when
        /// they need it, and learn of an end from the engine, which costs a
        /// refused request each (a fifth of all arrivals at 71 routers and 90
        /// engines with 0.8 KB/s for a router).
        double spare_bytes_per_second = 1'000'000;
        double spare_bytes_per_router = 8'500;
        /// Encoded, with names of usual length.
        std::size_t engine_bytes = 150;
        /// Told in one word: the ones that come first.
        std::size_t most_outlooks = 24;
    };

    /// Tells routers, perhaps this one among them, what engines hold.
    using sender = std::function<void(
        const owner_announcement&, std::span<const std::string> routers)>;
    /// @return The names of all routers, this one included.
    using router_lister = std::function<std::vector<std::string>()>;

    residency_teller(
        boost::asio::io_context& loop,
        options settings,
        std::string own_name,
        const clock_port& clock,
        const engine_tracker& engines,
        const demand_tracker& needs,
        router_lister routers,
        sender send);

    void start();
    void stop();

    /// This router owns placement under a fencing number, or not any more.
    /// The others hear of a new owner at once, before they apply themselves.
    void owned_under(std::optional<std::uint64_t> fence);

    /// The term has ended without a renewal. The others hear of it at once, so
    /// that one of them applies, and go on to hear of what was ordered before.
    void term_ended();

    /// When models that no engine has can be there. A model that wasn't among
    /// them before is told at once.
    void foreseen(std::span<const load_forecast> outlooks);

    /// What an engine holds has changed.
    /// @param servable Key of the model or adapter that it is about; empty:
    /// all.
    void changed(const std::string& engine, std::string_view servable);

    /// A router needs word of an engine.
    void needed_by(const std::string& router, const std::string& engine);

private:
    void add(const std::string& engine, std::span<const std::string> audience);
    /// Takes the bytes of one engine's word to so many routers.
    /// @return Whether there were as many to spare.
    bool spare(std::size_t routers);
    owner_announcement make_word() const;
    void tell_changes();
    void arm_beacon();
    void tell_some();

    options settings;
    std::string name;
    const clock_port& clock;
    const engine_tracker& engines;
    const demand_tracker& needs;
    router_lister routers;
    sender send;
    std::optional<std::uint64_t> fence; ///< empty: nothing is told
    std::map<std::string, std::set<std::string>> to_tell; ///< by router
    double spare_bytes = 0;
    instant spare_counted;
    std::vector<load_forecast> outlooks;
    std::string last_told; ///< engine that the last beacon ended with
    boost::asio::steady_timer pause_timer;
    boost::asio::steady_timer beacon_timer;
    bool waiting = false; ///< for changes that come together
    bool lapsed = false;  ///< the term has ended without a renewal
    bool stopped = false;
};

} // namespace roseworks::app
