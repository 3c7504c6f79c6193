#pragma once

#include "adapters/edge/introspection_port.hpp"
#include "adapters/metrics/metrics_registry.hpp"
#include "app/router_gauges.hpp"
#include "ports/clock.hpp"

#include <roseworks/instant.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace roseworks::app
{

/** What the router says of itself: readiness, `/metrics` and `/state`.

    A question is answered at once from the last text, which the control thread
    then makes anew. A text's cost grows with the number of servables, so the
    pause between two grows with it: with 87,000 it is about a second while
    somebody asks, and at most 30 s while nobody does, which is how old the
   first answer may be. `taken_at_ms` says when a text was made.
*/
class router_status final : public edge::introspection_port
{
public:
    /// What any thread can look up.
    struct lookups
    {
        std::function<std::uint64_t()> queued;
        std::function<std::uint64_t()> in_flight;
        std::function<router_gauges::process_figures()> figures;
        /// Asks the control thread to call `look`; must not block.
        std::function<void()> ask_look;
    };

    router_status(
        std::string router,
        std::string data_centre,
        const clock_port& clock,
        metrics::metrics_registry& registry,
        lookups from);

    bool ready() const override;
    std::string metrics_text() const override;
    std::string state_text() const override;

    /// Notes whether requests may come.
    void set_ready(bool value);

    /// Takes over what the control loop knows. On the control thread.
    void look(const control_loop& loop);

private:
    void ask() const;

    const std::string router;
    const std::string data_centre;
    const clock_port& clock;
    metrics::metrics_registry& registry;
    lookups from;
    mutable router_gauges gauges;
    std::atomic<bool> is_ready{false};
    mutable std::atomic<bool> asked{false};
    mutable std::mutex mutex;
    std::string text = "{}"; ///< guarded by the mutex
    // On the control thread only:
    instant next_text{};
    instant next_unasked_text{};
};

} // namespace roseworks::app
