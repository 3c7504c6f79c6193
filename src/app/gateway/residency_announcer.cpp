#include "app/gateway/residency_announcer.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

residency_announcer::residency_announcer(
    asio::io_context& loop,
    options initial_settings,
    std::string own_name,
    const clock_port& time,
    const engine_tracker& tracker,
    const demand_tracker& demands,
    const pace_estimator* estimates,
    router_lister lister,
    sender send_announcement)
    : settings(initial_settings)
    , name(std::move(own_name))
    , clock(time)
    , engines(tracker)
    , needs(demands)
    , paces(estimates)
    , routers(std::move(lister))
    , send(std::move(send_announcement))
    , batch_timer(loop)
    , beacon_timer(loop)
{
}

void residency_announcer::start()
{
    this->schedule_beacon();
}

void residency_announcer::stop()
{
    this->stopped = true;
    this->batch_timer.cancel();
    this->beacon_timer.cancel();
}

void residency_announcer::set_fence(std::optional<std::uint64_t> number)
{
    const bool is_new_owner = number && (!this->fence || this->expired);
    this->fence = number;
    this->expired = false;
    if (!number)
        this->pending_changes.clear();
    if (is_new_owner)
        this->send(this->make_announcement(), this->routers());
}

void residency_announcer::term_ended()
{
    if (!this->fence)
        return;
    this->expired = true;
    this->send(this->make_announcement(), this->routers());
}

void residency_announcer::set_forecasts(std::span<const load_forecast> latest)
{
    const auto is_new = [this](const load_forecast& one)
    {
        return std::ranges::find(
                   this->forecasts, one.model, &load_forecast::model) ==
               this->forecasts.end();
    };
    const bool has_new = std::ranges::any_of(latest, is_new);
    this->forecasts.assign(latest.begin(), latest.end());
    if (has_new && this->fence)
        this->send(this->make_announcement(), this->routers());
}

void residency_announcer::engine_changed(
    const std::string& engine, std::string_view servable)
{
    const std::vector<std::string> all = this->routers();
    if (this->take_budget(all.size()))
    {
        this->enqueue(engine, all);
        return;
    }
    this->enqueue(
        engine, this->needs.routers_waiting(servable, this->clock.now()));
    this->enqueue(engine, this->needs.routers_using(engine, servable));
}

void residency_announcer::announce_to(
    const std::string& router, const std::string& engine)
{
    const std::string recipients[] = {router};
    this->enqueue(engine, recipients);
}

void residency_announcer::enqueue(
    const std::string& engine, std::span<const std::string> recipients)
{
    for (const std::string& router : recipients)
        this->pending_changes[router].insert(engine);
    if (recipients.empty() || std::exchange(this->batch_scheduled, true))
        return;
    this->batch_timer.expires_after(this->settings.batch_delay);
    this->batch_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            this->batch_scheduled = false;
            if (!error && !this->stopped)
                this->announce_changes();
        });
}

bool residency_announcer::take_budget(std::size_t router_count)
{
    const instant now = this->clock.now();
    const double elapsed =
        std::chrono::duration<double>(now - this->budget_updated).count();
    this->budget_updated = now;
    const double rate = std::min(
        this->settings.budget_bytes_per_second,
        this->settings.budget_bytes_per_router *
            static_cast<double>(router_count));
    this->budget_bytes = std::min(this->budget_bytes + elapsed * rate, rate);
    const auto bytes =
        static_cast<double>(router_count * this->settings.encoded_engine_bytes);
    if (this->budget_bytes < bytes)
        return false;
    this->budget_bytes -= bytes;
    return true;
}

owner_announcement residency_announcer::make_announcement() const
{
    owner_announcement announcement;
    announcement.owner = this->name;
    announcement.tenure = *this->fence;
    announcement.term_expired = this->expired;
    const instant now = this->clock.now();
    announcement.routers =
        static_cast<std::uint32_t>(this->needs.active_routers(now));
    for (const load_forecast& one : this->forecasts)
    {
        if (announcement.load_forecasts.size() == this->settings.max_forecasts)
            break;
        announcement.load_forecasts.push_back(
            {one.model, duration(one.ready - now).count()});
    }
    return announcement;
}

void residency_announcer::add_engine(
    owner_announcement& announcement, const engine_state& engine) const
{
    announcement.engines.push_back(engine.residency(*this->fence));
    if (this->paces == nullptr)
        return;
    const auto percent = this->paces->percent(engine.entry.id);
    announcement.paces.push_back(
        static_cast<std::uint16_t>(percent.value_or(0)));
}

void residency_announcer::announce_changes()
{
    const auto all = std::exchange(this->pending_changes, {});
    if (!this->fence)
        return;
    // Routers with the same set of changed engines get one announcement.
    std::map<std::set<std::string>, std::vector<std::string>>
        recipients_by_engines;
    for (const auto& [router, changed_engines] : all)
        recipients_by_engines[changed_engines].push_back(router);
    for (const auto& [changed_engines, recipients] : recipients_by_engines)
    {
        owner_announcement announcement = this->make_announcement();
        for (const std::string& id : changed_engines)
        {
            const engine_state* engine = this->engines.find(id);
            if (engine != nullptr && engine->state_confirmed)
                this->add_engine(announcement, *engine);
        }
        if (!announcement.engines.empty())
            this->send(announcement, recipients);
    }
}

void residency_announcer::schedule_beacon()
{
    this->beacon_timer.expires_after(this->settings.beacon_interval);
    this->beacon_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            this->send_beacon();
            this->schedule_beacon();
        });
}

void residency_announcer::send_beacon()
{
    if (!this->fence)
        return;
    const std::vector<std::string> all = this->routers();
    owner_announcement announcement = this->make_announcement();
    const auto& known = this->engines.all();
    auto next = known.upper_bound(this->last_beacon_engine);
    const std::size_t engine_count =
        std::min(this->settings.max_beacon_engines, known.size());
    for (std::size_t i = 0; i < engine_count; ++i)
    {
        if (!this->take_budget(all.size()))
            break;
        if (next == known.end())
            next = known.begin();
        this->last_beacon_engine = next->first;
        if (next->second.state_confirmed)
            this->add_engine(announcement, next->second);
        ++next;
    }
    this->send(announcement, all);
}

} // namespace roseworks::app
