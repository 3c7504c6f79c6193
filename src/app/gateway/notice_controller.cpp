#include "app/gateway/notice_controller.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

/// With more of them, those that have left the registry are forgotten. A server
/// that has only lost its entry for a while would get requests again.
constexpr std::size_t max_leaving_servers = 1024;

} // namespace

notice_controller::notice_controller(
    asio::io_context& context,
    std::string router,
    const clock_port& time,
    event_sink& sink,
    const serving_view& servers,
    edge::shared_dispatcher& traffic,
    callbacks handlers)
    : loop(context)
    , clock(time)
    , events(sink)
    , view(servers)
    , dispatch(traffic)
    , notify(std::move(handlers))
    , leaving(std::move(router))
    , timer(context)
{
}

void notice_controller::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void notice_controller::answered(
    const server_identity& server, const server_notice& notice, instant sent)
{
    const bool states_something =
        notice.leaving || notice.replaced || notice.pause;
    if (!states_something && !this->has_reports)
        return;
    asio::post(
        this->loop,
        [this, server, notice, sent]
        {
            if (this->stopped)
                return;
            const instant now = this->clock.now();
            if (notice.pause)
                this->record_pause(server, now + *notice.pause);
            if (notice.replaced)
                this->record_replacement(server);
            else
                this->leaving.handle_answer(
                    server.instance, server.life, notice.leaving, sent, now);
            this->flush();
        });
}

void notice_controller::record_replacement(const server_identity& server)
{
    if (!this->leaving.contains(server.instance))
        this->events.report(
            event_id::server_replaced,
            {{"server", server.instance}, {"address", server.address}});
    this->leaving.handle_replacement(
        server.instance, server.life, this->clock.now());
}

void notice_controller::record_pause(
    const server_identity& server, instant until)
{
    const instant now = this->clock.now();
    const auto known = this->pauses.find(server.instance);
    // Requests that were on their way are rejected alike.
    const bool is_new = known == this->pauses.end() ||
                        known->second.life != server.life ||
                        known->second.until <= now;
    if (is_new)
        this->events.report(
            event_id::server_paused,
            {{"server", server.instance},
             {"pause_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(until - now)
                  .count()}});
    std::erase_if(
        this->pauses,
        [now](const auto& one)
        {
            return one.second.until <= now;
        });
    pause& recorded = this->pauses[server.instance];
    recorded.until = std::max(recorded.until, until);
    recorded.life = server.life;
    recorded.place = {server.engine, server.address};
}

void notice_controller::end_pauses_of_earlier_lives()
{
    const auto is_of_earlier_life = [this](const auto& one)
    {
        const auto found = this->view.servers().find(one.first);
        const bool is_earlier =
            found != this->view.servers().end() &&
            life_of(one.first, found->second.entry.born_ms) != one.second.life;
        if (!is_earlier)
            return false;
        this->events.report(
            event_id::server_paused, {{"server", one.first}, {"pause_ms", 0}});
        this->dispatch.pause_ended(one.second.place);
        return true;
    };
    std::erase_if(this->pauses, is_of_earlier_life);
}

void notice_controller::engine_leaves(const std::string& engine)
{
    const auto found = this->view.servers().find(engine);
    if (this->stopped || found == this->view.servers().end())
        return;
    const instant now = this->clock.now();
    this->leaving.handle_answer(
        engine, life_of(engine, found->second.entry.born_ms), true, now, now);
    this->flush();
}

void notice_controller::update_received(const server_limit_update& update)
{
    if (this->stopped || update.limits.empty())
        return;
    this->leaving.handle_update(update, this->clock.now());
    this->flush();
}

void notice_controller::servers_changed()
{
    this->end_pauses_of_earlier_lives();
    if (this->leaving.empty())
        return;
    this->end_statements_of_earlier_lives();
    this->flush();
}

void notice_controller::end_statements_of_earlier_lives()
{
    const auto known = this->leaving.all();
    const bool is_full = known.size() > max_leaving_servers;
    for (const auto& [id, life] : known)
    {
        const auto found = this->view.servers().find(id);
        if (found == this->view.servers().end())
        {
            if (is_full)
                this->leaving.forget(id);
            continue;
        }
        const server_life present = life_of(id, found->second.entry.born_ms);
        if (present != life)
            this->leaving.restarted(id, present);
    }
}

void notice_controller::flush()
{
    const auto changes = this->leaving.take_changes();
    if (!changes.empty())
        this->apply(changes);
    this->has_reports = this->leaving.has_reports();
    if (const auto message = this->leaving.take_update(this->clock.now()))
        this->notify.on_message(*message);
    this->schedule_tick();
}

void notice_controller::apply(std::span<const leaving_servers::change> changes)
{
    const auto known = this->leaving.all();
    for (const leaving_servers::change& changed : changes)
    {
        this->events.report(
            event_id::server_leaving,
            {{"server", changed.server},
             {"is_leaving", changed.is_leaving ? 1 : 0},
             {"source", changed.is_own ? "server" : "router"}});
        // The dispatcher knows servers by id: an earlier life may have ended.
        this->dispatch.vm_leaving(
            changed.server, known.contains(changed.server));
        this->notify.on_leaving(changed.life, changed.is_leaving);
    }
}

void notice_controller::schedule_tick()
{
    const auto due = this->leaving.next_tick();
    if (this->stopped || !due)
        return;
    this->timer.expires_after(
        std::max<duration>(*due - this->clock.now(), duration::zero()));
    this->timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            this->leaving.tick(this->clock.now());
            this->flush();
        });
}

} // namespace roseworks::app
