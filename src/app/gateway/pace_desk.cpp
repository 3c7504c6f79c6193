#include "app/gateway/pace_desk.hpp"

#include "core/quota/counted_limits.hpp"

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

server_limits::options limits_options(const pace_desk::options& settings)
{
    server_limits::options made;
    made.router = settings.router;
    return made;
}

bool is_same(const server_place& one, const server_place& other)
{
    return one.engine == other.engine &&
           (one.engine || one.address == other.address);
}

} // namespace

pace_desk::pace_desk(
    asio::io_context& context,
    options chosen,
    const clock_port& time,
    event_sink& sink,
    const serving_view& servers,
    edge::shared_dispatcher& traffic,
    quota_desk& counted,
    notices told)
    : loop(context)
    , settings(std::move(chosen))
    , clock(time)
    , events(sink)
    , view(servers)
    , dispatch(traffic)
    , quotas(counted)
    , tell(std::move(told))
    , limits(limits_options(this->settings))
    , timer(context)
{
}

void pace_desk::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->limited.clear();
}

void pace_desk::answered(
    const std::string& server, std::optional<double> named, instant sent)
{
    if (!named && !this->is_any_limited)
        return;
    asio::post(
        this->loop,
        [this, server, named, sent]
        {
            this->answered_now(server, named, sent);
        });
}

void pace_desk::answered_now(
    const std::string& server, std::optional<double> named, instant sent)
{
    if (this->stopped)
        return;
    this->limits.answered(server, named, sent, this->clock.now());
    this->flush();
}

void pace_desk::word_heard(const server_limit_word& word)
{
    this->limits.heard(word, this->clock.now());
    this->flush();
}

server_place pace_desk::place_of(const serving_view::server& one) const
{
    const bool is_engine = this->view.is_engine(one);
    return {is_engine ? one.engine : engine_id(), one.entry.address};
}

void pace_desk::servers_changed()
{
    if (!this->is_any_limited)
        return;
    this->forget_restarted();
    this->flush();
    this->drop_moved();
    // The server may be back in the registry, or its limit may have been
    // received before its entry was read.
    for (const server_limit& limit : this->limits.in_force())
    {
        if (!this->limited.contains(limit.server))
            this->keep(limit);
    }
}

void pace_desk::forget_restarted()
{
    for (const auto& [id, born] : this->born_ms)
    {
        const auto found = this->view.servers().find(id);
        if (found != this->view.servers().end() &&
            found->second.entry.born_ms != born)
            this->limits.forget(id);
    }
}

void pace_desk::drop_moved()
{
    std::vector<std::string> moved;
    for (const auto& [id, one] : this->limited)
    {
        const auto found = this->view.servers().find(id);
        const bool is_there = found != this->view.servers().end() &&
                              is_same(this->place_of(found->second), one.place);
        if (!is_there)
            moved.push_back(id);
    }
    for (const std::string& id : moved)
        this->drop(id);
}

void pace_desk::flush()
{
    const std::vector<server_limit> changes = this->limits.take_changes();
    for (const server_limit& one : changes)
    {
        this->log(one);
        if (one.per_second > 0)
        {
            this->keep(one);
            continue;
        }
        this->drop(one.server);
        this->born_ms.erase(one.server);
    }
    if (!changes.empty())
        this->limits_changed();
    if (const auto word = this->limits.take_word(this->clock.now()))
        this->tell.on_word(*word);
    this->arm();
}

void pace_desk::limits_changed()
{
    const std::vector<server_limit> all = this->limits.in_force();
    this->is_any_limited = !all.empty();
    this->quotas.servers_limited(all);
    std::map<std::string, double, std::less<>> rates;
    for (const server_limit& one : all)
        rates[one.server] = one.per_second;
    this->tell.on_limits(std::move(rates));
}

void pace_desk::keep(const server_limit& limit)
{
    const auto known = this->view.servers().find(limit.server);
    if (known == this->view.servers().end())
        return;
    this->born_ms[limit.server] = known->second.entry.born_ms;
    const auto added = this->limited.try_emplace(
        limit.server, this->loop, this->place_of(known->second));
    this->dispatch.server_limited(added.first->second.place, limit.per_second);
}

void pace_desk::drop(const std::string& server)
{
    const auto found = this->limited.find(server);
    if (found == this->limited.end())
        return;
    const server_place place = found->second.place;
    this->limited.erase(found);
    this->dispatch.server_limited(place, 0);
}

void pace_desk::log(const server_limit& changed)
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

void pace_desk::permit_needed(const permit_wanted& wanted)
{
    asio::post(
        this->loop,
        [this, wanted]
        {
            this->draw_permit(wanted);
        });
}

void pace_desk::draw_permit(const permit_wanted& wanted)
{
    const auto found = std::ranges::find_if(
        this->limited,
        [&wanted](const auto& one)
        {
            return is_same(one.second.place, wanted.server);
        });
    if (this->stopped || found == this->limited.end())
        return; // the limit has ended, and the dispatcher was notified
    quota_request request;
    request.organisation = server_account(found->first);
    request.amount = 1;
    request.longest_wait =
        wanted.waits ? duration(this->settings.patience) : duration::zero();
    this->quotas.draw(
        std::move(request),
        [this, server = found->first](const quota_decision& decision)
        {
            this->decided(server, decision);
        });
}

void pace_desk::decided(
    const std::string& server, const quota_decision& decision)
{
    const auto found = this->limited.find(server);
    if (found == this->limited.end())
        return;
    limited_server& one = found->second;
    if (!decision.is_allowed)
    {
        const duration longest = this->settings.longest_retry;
        this->dispatch.permit_refused(
            one.place, std::min(decision.retry_after, longest));
        return;
    }
    this->dispatch.permit_given(one.place, decision.wait);
    one.permit_end.expires_after(decision.wait + this->settings.permit_life);
    one.permit_end.async_wait(
        [this, server](const boost::system::error_code& error)
        {
            if (!error)
                this->take_permit_back(server);
        });
}

void pace_desk::take_permit_back(const std::string& server)
{
    const auto found = this->limited.find(server);
    if (found == this->limited.end())
        return;
    if (this->dispatch.permit_withdrawn(found->second.place))
        this->quotas.give_back(server_account(server), 1);
}

void pace_desk::arm()
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
