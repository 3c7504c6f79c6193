#include "app/router_status.hpp"

#include "app/control_loop.hpp"
#include "app/state_text.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <utility>

namespace roseworks::app
{

namespace
{

constexpr duration shortest_pause = std::chrono::milliseconds(100);

/// Making texts that were asked for takes at most this part of the control
/// thread's time.
constexpr int cost_share = 50;

/// The same of texts that nobody has asked for: they only keep the answer to
/// the next question from being old.
constexpr int unasked_cost_share = 1000;

constexpr duration longest_unasked_pause = std::chrono::seconds(30);

} // namespace

router_status::router_status(
    std::string name,
    std::string place,
    const clock_port& with_clock,
    metrics::metrics_registry& metrics,
    lookups look_up)
    : router(std::move(name))
    , data_centre(std::move(place))
    , clock(with_clock)
    , registry(metrics)
    , from(std::move(look_up))
    , gauges(metrics)
{
}

bool router_status::ready() const
{
    return this->is_ready;
}

std::string router_status::metrics_text() const
{
    this->ask();
    this->gauges.update(this->from.figures());
    std::ostringstream out;
    this->registry.write(out);
    return std::move(out).str();
}

std::string router_status::state_text() const
{
    this->ask();
    const std::lock_guard lock(this->mutex);
    return this->text;
}

void router_status::set_ready(bool value)
{
    this->is_ready = value;
}

void router_status::look(const control_loop& loop)
{
    const bool wanted = this->asked.exchange(false);
    this->gauges.update(loop);
    const instant begun = this->clock.now();
    this->gauges.meter(this->from.figures(), begun);
    const instant due = wanted ? this->next_text : this->next_unasked_text;
    if (begun < due)
        return;

    const state_text_frame frame{
        this->router,
        this->data_centre,
        this->from.queued(),
        this->from.in_flight(),
        this->clock.wall()};
    std::string fresh = make_state_text(loop, frame);
    const instant ended = this->clock.now();
    const duration cost = ended - begun;
    this->next_text = ended + std::max(shortest_pause, cost_share * cost);
    this->next_unasked_text =
        ended +
        std::clamp(
            unasked_cost_share * cost, shortest_pause, longest_unasked_pause);
    const std::lock_guard lock(this->mutex);
    std::swap(this->text, fresh);
}

void router_status::ask() const
{
    if (!this->asked.exchange(true))
        this->from.ask_look();
}

} // namespace roseworks::app
