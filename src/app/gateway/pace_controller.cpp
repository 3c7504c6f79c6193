#include "app/gateway/pace_controller.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace roseworks::app
{

namespace
{

/// Interval between reports, which limits their size: a router measures a few
/// streams in this time.
constexpr duration report_interval = std::chrono::seconds(1);

} // namespace

pace_controller::pace_controller(
    const clock_port& time,
    const serving_view& known,
    edge::shared_dispatcher& dispatcher)
    : clock(time)
    , view(known)
    , dispatch(dispatcher)
    , observer(pace_observer::options())
{
}

void pace_controller::measured(
    std::string_view servable, server_life run, const stream_timer& times)
{
    const std::uint64_t model = pace_model(servable);
    const std::lock_guard lock(this->mutex);
    this->observer.add(run.value, model, times.events(), times.time());
}

std::vector<pace_sample> pace_controller::take_samples()
{
    const instant now = this->clock.now();
    if (now - this->last_taken < report_interval)
        return {};
    this->last_taken = now;
    const std::lock_guard lock(this->mutex);
    return this->observer.take();
}

void pace_controller::announced(const owner_announcement& message)
{
    const instant now = this->clock.now();
    const std::size_t count =
        std::min(message.engines.size(), message.paces.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        const engine_residency& engine = message.engines[i];
        this->paces.announced(
            engine.engine, engine.born_ms, message.paces[i], now);
        this->apply(engine.engine);
    }
}

void pace_controller::servers_changed()
{
    for (const std::string& engine : this->paces.engines(this->clock.now()))
        this->apply(engine);
}

void pace_controller::apply(const std::string& engine)
{
    const auto found = this->view.servers().find(engine);
    if (found == this->view.servers().end())
        return;
    const instant now = this->clock.now();
    this->dispatch.pace_estimated(
        found->second.engine,
        this->paces.percent(engine, found->second.entry.born_ms, now),
        this->paces.until(engine, now) - now);
}

} // namespace roseworks::app
