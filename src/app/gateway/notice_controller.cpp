#include "app/gateway/notice_controller.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

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
    if (!notice.leaving && !this->has_leaving)
        return;
    asio::post(
        this->loop,
        [this,
         id = server.instance,
         life = server.life,
         is_leaving = notice.leaving,
         sent]
        {
            if (this->stopped)
                return;
            this->leaving.handle_answer(
                id, life, is_leaving, sent, this->clock.now());
            this->flush();
        });
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
    if (!this->has_leaving)
        return;
    for (const auto& [id, life] : this->leaving.all())
    {
        const auto found = this->view.servers().find(id);
        if (found != this->view.servers().end())
            this->leaving.restarted(
                id, life_of(id, found->second.entry.born_ms));
    }
    this->flush();
}

void notice_controller::flush()
{
    for (const leaving_servers::change& changed : this->leaving.take_changes())
        this->apply(changed);
    this->has_leaving = !this->leaving.empty();
    if (const auto message = this->leaving.take_update(this->clock.now()))
        this->notify.on_message(*message);
    this->schedule_tick();
}

void notice_controller::apply(const leaving_servers::change& changed)
{
    this->events.report(
        event_id::server_leaving,
        {{"server", changed.server},
         {"is_leaving", changed.is_leaving ? 1 : 0},
         {"source", changed.is_own ? "server" : "router"}});
    this->dispatch.vm_leaving(changed.server, changed.is_leaving);
    this->notify.on_leaving(changed.life, changed.is_leaving);
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
