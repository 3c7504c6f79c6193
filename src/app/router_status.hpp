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

    The control thread leaves a text about once a second and whenever somebody
    has asked; a question is answered from the last text at once. A text's cost
    grows with the number of servables, so the pause between two grows with it.
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
    instant next_text{};     ///< control thread only
};

} // namespace roseworks::app
