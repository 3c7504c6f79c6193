#include "app/gateway/server_limit_controller.hpp"

#include "core/quota/global_limits.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

server_limits::options
limits_options(const server_limit_controller::options& settings)
{
    server_limits::options made;
    made.router = settings.router;
    return made;
}

draw_order order_of(const permit_wanted& wanted, instant now)
{
    draw_order order;
    order.rank = wanted.rank;
    if (wanted.objective != instant::max())
        order.objective_in_us =
            std::max<std::int64_t>(duration(wanted.objective - now).count(), 0);
    return order;
}

bool is_same_server(const server_place& one, const server_place& other)
{
    return one.engine == other.engine &&
           (one.engine || one.address == other.address);
}

} // namespace

server_limit_controller::server_limit_controller(
    asio::io_context& context,
    options initial_settings,
    const clock_port& time,
    event_sink& sink,
    const serving_view& servers,
    edge::shared_dispatcher& traffic,
    quota_controller& quota,
    callbacks handlers)
    : loop(context)
    , settings(std::move(initial_settings))
    , clock(time)
    , events(sink)
    , view(servers)
    , dispatch(traffic)
    , quotas(quota)
    , notify(std::move(handlers))
    , limits(limits_options(this->settings))
    , brittle_services(brittle_service_options(this->settings.router))
    , saturated_servers(saturated_server_options(this->settings.router))
    , timer(context)
{
}

void server_limit_controller::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->limited_servers.clear();
}

void server_limit_controller::answered(
    const std::string& server, const server_notice& notice, instant sent)
{
    if (!this->is_relevant(notice))
        return;
    asio::post(
        this->loop,
        [this, server, notice, sent]
        {
            this->process_answer(server, notice, sent);
        });
}

bool server_limit_controller::is_relevant(const server_notice& notice) const
{
    const bool states_load = notice.load || notice.no_room;
    return !notice.is_empty() || this->has_limits ||
           this->has_brittle_services ||
           (this->settings.count_saturated && states_load);
}

void server_limit_controller::process_answer(
    const std::string& server, const server_notice& notice, instant sent)
{
    if (this->stopped)
        return;
    const instant now = this->clock.now();
    this->limits.handle_answer(server, notice.rate_limit, sent, now);
    const auto found = this->view.servers().find(server);
    if (found != this->view.servers().end())
    {
        this->brittle_services.handle_answer(
            brittle_service_key(found->second.entry.service),
            notice.max_rejections,
            sent,
            now);
        this->check_saturation(found->second, notice, sent, now);
    }
    this->flush();
}

void server_limit_controller::check_saturation(
    const serving_view::server& one,
    const server_notice& notice,
    instant sent,
    instant now)
{
    const bool states_load = notice.load || notice.no_room;
    if (!this->settings.count_saturated || !states_load ||
        !this->view.is_engine(one))
        return;
    const std::string key = saturated_server_key(one.entry.id);
    const bool is_shown = this->settings.saturation.is_shown(
        notice, one.entry.slots, this->saturated_servers.limit_of(key) > 0);
    constexpr double present = 1;
    this->saturated_servers.handle_answer(
        key, is_shown ? std::optional(present) : std::nullopt, sent, now);
}

void server_limit_controller::limits_received(const update_kinds& kinds)
{
    const instant now = this->clock.now();
    this->limits.handle_update(kinds.rate_limits, now);
    this->brittle_services.handle_update(kinds.brittle_services, now);
    if (this->settings.count_saturated)
        this->saturated_servers.handle_update(kinds.saturated_servers, now);
    this->flush();
}

server_place
server_limit_controller::place_of(const serving_view::server& one) const
{
    const bool is_engine = this->view.is_engine(one);
    return {is_engine ? one.engine : engine_id(), one.entry.address};
}

void server_limit_controller::servers_changed()
{
    if (!this->has_limits && !this->has_brittle_services &&
        !this->has_saturated_servers)
        return;
    this->remove_restarted();
    this->flush();
    this->remove_moved();
    // The server may be back in the registry, or its limit may have been
    // received before its entry was read.
    for (const server_limit& limit : this->limits.in_force())
    {
        const auto known = this->limited_servers.find(limit.server);
        if (known == this->limited_servers.end() ||
            !known->second.has_rate_limit)
            this->apply_limit(limit);
    }
    this->update_counted_servers();
}

void server_limit_controller::remove_restarted()
{
    for (const auto& [id, born] : this->start_times_ms)
    {
        const auto found = this->view.servers().find(id);
        if (found != this->view.servers().end() &&
            found->second.entry.born_ms != born)
            this->limits.remove(id);
    }
}

const serving_view::server*
server_limit_controller::current_server(const std::string& id) const
{
    const auto found = this->view.servers().find(id);
    const bool is_current =
        found != this->view.servers().end() && !found->second.superseded;
    return is_current ? &found->second : nullptr;
}

void server_limit_controller::remove_others_at(
    const server_place& place, const std::string& server)
{
    std::vector<std::string> others;
    for (const auto& [id, one] : this->limited_servers)
    {
        if (id != server && is_same_server(one.place, place))
            others.push_back(id);
    }
    for (const std::string& id : others)
    {
        this->remove_limit(id);
        this->set_counted(id, false);
    }
}

void server_limit_controller::remove_moved()
{
    std::vector<std::string> moved;
    for (const auto& [id, one] : this->limited_servers)
    {
        const serving_view::server* known = this->current_server(id);
        const bool is_unchanged =
            known != nullptr &&
            is_same_server(this->place_of(*known), one.place);
        if (!is_unchanged)
            moved.push_back(id);
    }
    for (const std::string& id : moved)
    {
        this->remove_limit(id);
        this->set_counted(id, false);
    }
}

void server_limit_controller::flush()
{
    const std::vector<server_limit> changes = this->limits.take_changes();
    for (const server_limit& one : changes)
    {
        this->log_change(one);
        if (one.per_second > 0)
        {
            this->apply_limit(one);
            continue;
        }
        this->remove_limit(one.server);
        this->start_times_ms.erase(one.server);
    }
    if (!changes.empty())
        this->limits_changed();
    this->log_brittle_services();
    this->log_saturated_servers();
    for (server_limits* known :
         {&this->limits, &this->brittle_services, &this->saturated_servers})
    {
        if (const auto message = known->take_update(this->clock.now()))
            this->notify.on_limits_to_send(*message);
    }
    this->schedule_tick();
}

void server_limit_controller::log_brittle_services()
{
    const auto changes = this->brittle_services.take_changes();
    if (changes.empty())
        return;
    for (const server_limit& one : changes)
        this->events.report(
            event_id::service_brittle,
            {{"service", service_of_brittle_key(one.server)},
             {"is_brittle", one.per_second > 0 ? 1 : 0},
             {"max_rejections", std::llround(one.per_second)}});
    this->has_brittle_services = !this->brittle_services.in_force().empty();
    this->update_counted_servers();
}

void server_limit_controller::log_saturated_servers()
{
    const auto changes = this->saturated_servers.take_changes();
    if (changes.empty())
        return;
    for (const server_limit& one : changes)
    {
        const std::string_view id = server_of_saturated_key(one.server);
        const auto found = this->view.servers().find(id);
        const bool is_known = found != this->view.servers().end();
        this->events.report(
            event_id::server_saturated,
            {{"server", id},
             {"is_saturated", one.per_second > 0 ? 1 : 0},
             {"places",
              is_known ? std::llround(this->settings.saturation.places(
                             found->second.entry.slots))
                       : 0}});
    }
    this->has_saturated_servers = !this->saturated_servers.in_force().empty();
    this->update_counted_servers();
}

double
server_limit_controller::counted_places(const serving_view::server& one) const
{
    const std::string service = brittle_service_key(one.entry.service);
    if (this->brittle_services.limit_of(service) != 0)
        return one.entry.slots;
    const std::string server = saturated_server_key(one.entry.id);
    return this->saturated_servers.limit_of(server) == 0
               ? 0
               : this->settings.saturation.places(one.entry.slots);
}

void server_limit_controller::update_counted_servers()
{
    std::map<std::string, double, std::less<>> slots;
    std::vector<std::string> added;
    for (const auto& [id, one] : this->view.servers())
    {
        const double places = one.superseded ? 0 : this->counted_places(one);
        if (places == 0)
            continue;
        const std::string account = places_account(id);
        slots[account] = places;
        if (!this->slots_by_account.contains(account))
            added.push_back(id);
    }
    if (slots == this->slots_by_account)
        return;
    std::vector<std::string> removed;
    for (const auto& [id, one] : this->limited_servers)
    {
        if (one.counts_places && !slots.contains(places_account(id)))
            removed.push_back(id);
    }
    this->slots_by_account = std::move(slots);
    this->quotas.server_places_changed(this->slots_by_account);
    for (const std::string& id : removed)
        this->set_counted(id, false);
    for (const std::string& id : added)
        this->set_counted(id, true);
}

void server_limit_controller::set_counted(
    const std::string& server, bool counted)
{
    const serving_view::server* known = this->current_server(server);
    if (counted && known != nullptr)
    {
        const server_place place = this->place_of(*known);
        this->remove_others_at(place, server);
        this->limited_servers.try_emplace(server, this->loop, place);
    }
    const auto found = this->limited_servers.find(server);
    if (found == this->limited_servers.end() ||
        std::exchange(found->second.counts_places, counted) == counted)
        return;
    this->dispatch.server_counted(found->second.place, counted);
    this->remove_unlimited(server);
}

void server_limit_controller::remove_unlimited(const std::string& server)
{
    const auto found = this->limited_servers.find(server);
    if (found != this->limited_servers.end() && !found->second.has_rate_limit &&
        !found->second.counts_places)
        this->limited_servers.erase(found);
}

void server_limit_controller::limits_changed()
{
    const std::vector<server_limit> all = this->limits.in_force();
    this->has_limits = !all.empty();
    this->quotas.server_limits_changed(all);
    std::map<std::string, double, std::less<>> rates;
    for (const server_limit& one : all)
        rates[one.server] = one.per_second;
    this->notify.on_limits_changed(std::move(rates));
}

void server_limit_controller::apply_limit(const server_limit& limit)
{
    const serving_view::server* known = this->current_server(limit.server);
    if (known == nullptr)
        return;
    this->start_times_ms[limit.server] = known->entry.born_ms;
    const server_place place = this->place_of(*known);
    this->remove_others_at(place, limit.server);
    const auto added =
        this->limited_servers.try_emplace(limit.server, this->loop, place);
    added.first->second.has_rate_limit = true;
    this->dispatch.server_limited(added.first->second.place, limit.per_second);
}

void server_limit_controller::remove_limit(const std::string& server)
{
    const auto found = this->limited_servers.find(server);
    if (found == this->limited_servers.end() ||
        !std::exchange(found->second.has_rate_limit, false))
        return;
    const server_place place = found->second.place;
    this->remove_unlimited(server);
    this->dispatch.server_limited(place, 0);
}

void server_limit_controller::log_change(const server_limit& changed)
{
    constexpr double seconds_per_minute = 60;
    if (changed.per_second == 0)
        this->events.report(
            event_id::server_limit_ended, {{"server", changed.server}});
    else
        this->events.report(
            event_id::server_limited,
            {{"server", changed.server},
             {"per_minute",
              std::llround(changed.per_second * seconds_per_minute)}});
}

void server_limit_controller::permit_needed(const permit_wanted& wanted)
{
    asio::post(
        this->loop,
        [this, wanted]
        {
            this->draw_permit(wanted);
        });
}

server_limit_controller::limited_servers_map::iterator
server_limit_controller::find_at(const server_place& place)
{
    return std::ranges::find_if(
        this->limited_servers,
        [&place](const auto& one)
        {
            return is_same_server(one.second.place, place);
        });
}

void server_limit_controller::place_released(
    const roseworks::place_released& released)
{
    asio::post(
        this->loop,
        [this, released]
        {
            const auto found = this->find_at(released.server);
            if (this->stopped || found == this->limited_servers.end())
                return; // the server's places aren't counted any more
            this->quotas.release_place(
                places_account(found->first), released.rejected);
        });
}

void server_limit_controller::permit_cancelled(
    const roseworks::permit_cancelled& cancelled)
{
    asio::post(
        this->loop,
        [this, cancelled]
        {
            const auto found = this->find_at(cancelled.server);
            if (!this->stopped && found != this->limited_servers.end())
                this->quotas.cancel_place(places_account(found->first));
        });
}

void server_limit_controller::draw_permit(const permit_wanted& wanted)
{
    const auto found = this->find_at(wanted.server);
    if (this->stopped || found == this->limited_servers.end())
        return; // the limit has ended, and the dispatcher was notified
    const duration longest_wait = wanted.waits
                                      ? duration(this->settings.max_permit_wait)
                                      : duration::zero();
    if (!found->second.counts_places && wanted.reorders)
        return; // permits of a rate limit have no order
    if (!found->second.counts_places)
    {
        this->draw_rate(found->first, longest_wait);
        return;
    }
    quota_request request;
    request.account = places_account(found->first);
    request.amount = 1;
    request.longest_wait = longest_wait;
    request.order = order_of(wanted, this->clock.now());
    if (wanted.reorders)
    {
        this->quotas.reorder_place(request.account, request.order);
        return;
    }
    this->quotas.draw(
        std::move(request),
        [this, longest_wait, server = found->first](
            const quota_decision& decision)
        {
            const auto one = this->limited_servers.find(server);
            if (one == this->limited_servers.end())
                return;
            if (!decision.is_allowed)
                this->refuse_permit(server, decision);
            else if (one->second.has_rate_limit)
                this->draw_rate(server, longest_wait);
            else
                this->dispatch.permit_given(one->second.place, decision.wait);
        });
}

void server_limit_controller::draw_rate(
    const std::string& server, duration longest_wait)
{
    quota_request request;
    request.account = server_account(server);
    request.amount = 1;
    request.longest_wait = longest_wait;
    this->quotas.draw(
        std::move(request),
        [this, server](const quota_decision& decision)
        {
            this->handle_decision(server, decision);
        });
}

void server_limit_controller::refuse_permit(
    const std::string& server, const quota_decision& decision)
{
    const duration longest = this->settings.max_retry_delay;
    this->dispatch.permit_refused(
        this->limited_servers.at(server).place,
        std::min(decision.retry_after, longest));
}

void server_limit_controller::handle_decision(
    const std::string& server, const quota_decision& decision)
{
    const auto found = this->limited_servers.find(server);
    if (found == this->limited_servers.end())
        return;
    limited_server& one = found->second;
    if (!decision.is_allowed)
    {
        if (one.counts_places)
            this->quotas.release_place(places_account(server), false);
        this->refuse_permit(server, decision);
        return;
    }
    this->dispatch.permit_given(one.place, decision.wait);
    one.permit_expiry.expires_after(
        decision.wait + this->settings.permit_lifetime);
    one.permit_expiry.async_wait(
        [this, server](const boost::system::error_code& error)
        {
            if (!error)
                this->withdraw_permit(server);
        });
}

void server_limit_controller::withdraw_permit(const std::string& server)
{
    const auto found = this->limited_servers.find(server);
    if (found == this->limited_servers.end())
        return;
    if (!this->dispatch.permit_withdrawn(found->second.place))
        return;
    this->quotas.refund(server_account(server), 1);
    if (found->second.counts_places)
        this->quotas.release_place(places_account(server), false);
}

void server_limit_controller::schedule_tick()
{
    std::optional<instant> due = this->limits.next_tick();
    for (const server_limits* known :
         {&this->brittle_services, &this->saturated_servers})
    {
        if (const auto next = known->next_tick())
            due = std::min(due.value_or(*next), *next);
    }
    if (this->stopped || !due)
        return;
    this->timer.expires_after(
        std::max<duration>(*due - this->clock.now(), duration::zero()));
    this->timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            this->limits.tick(this->clock.now());
            this->brittle_services.tick(this->clock.now());
            this->saturated_servers.tick(this->clock.now());
            this->flush();
        });
}

} // namespace roseworks::app
