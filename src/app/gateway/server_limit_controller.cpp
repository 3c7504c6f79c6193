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
    const std::string& server, std::optional<double> named_limit, instant sent)
{
    if (!named_limit && !this->has_limits)
        return;
    asio::post(
        this->loop,
        [this, server, named_limit, sent]
        {
            this->process_answer(server, named_limit, sent);
        });
}

void server_limit_controller::process_answer(
    const std::string& server, std::optional<double> named_limit, instant sent)
{
    if (this->stopped)
        return;
    this->limits.handle_answer(server, named_limit, sent, this->clock.now());
    this->flush();
}

void server_limit_controller::limits_received(
    const server_limit_update& message)
{
    this->limits.handle_update(message, this->clock.now());
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
    if (!this->has_limits)
        return;
    this->remove_restarted();
    this->flush();
    this->remove_moved();
    // The server may be back in the registry, or its limit may have been
    // received before its entry was read.
    for (const server_limit& limit : this->limits.in_force())
    {
        if (!this->limited_servers.contains(limit.server))
            this->apply_limit(limit);
    }
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

void server_limit_controller::remove_moved()
{
    std::vector<std::string> moved;
    for (const auto& [id, one] : this->limited_servers)
    {
        const auto found = this->view.servers().find(id);
        const bool is_unchanged =
            found != this->view.servers().end() &&
            is_same_server(this->place_of(found->second), one.place);
        if (!is_unchanged)
            moved.push_back(id);
    }
    for (const std::string& id : moved)
        this->remove_limit(id);
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
    if (const auto message = this->limits.take_update(this->clock.now()))
        this->notify.on_limits_to_send(*message);
    this->schedule_tick();
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
    const auto known = this->view.servers().find(limit.server);
    if (known == this->view.servers().end())
        return;
    this->start_times_ms[limit.server] = known->second.entry.born_ms;
    const auto added = this->limited_servers.try_emplace(
        limit.server, this->loop, this->place_of(known->second));
    this->dispatch.server_limited(added.first->second.place, limit.per_second);
}

void server_limit_controller::remove_limit(const std::string& server)
{
    const auto found = this->limited_servers.find(server);
    if (found == this->limited_servers.end())
        return;
    const server_place place = found->second.place;
    this->limited_servers.erase(found);
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

void server_limit_controller::draw_permit(const permit_wanted& wanted)
{
    const auto found = std::ranges::find_if(
        this->limited_servers,
        [&wanted](const auto& one)
        {
            return is_same_server(one.second.place, wanted.server);
        });
    if (this->stopped || found == this->limited_servers.end())
        return; // the limit has ended, and the dispatcher was notified
    quota_request request;
    request.account = server_account(found->first);
    request.amount = 1;
    request.longest_wait = wanted.waits
                               ? duration(this->settings.max_permit_wait)
                               : duration::zero();
    this->quotas.draw(
        std::move(request),
        [this, server = found->first](const quota_decision& decision)
        {
            this->handle_decision(server, decision);
        });
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
        const duration longest = this->settings.max_retry_delay;
        this->dispatch.permit_refused(
            one.place, std::min(decision.retry_after, longest));
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
    if (this->dispatch.permit_withdrawn(found->second.place))
        this->quotas.refund(server_account(server), 1);
}

void server_limit_controller::schedule_tick()
{
    const auto due = this->limits.next_tick();
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
            this->flush();
        });
}

} // namespace roseworks::app
