#include "app/gateway/origin_controller.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace roseworks::app
{

namespace asio = boost::asio;

origin_controller::origin_controller(
    asio::io_context& context,
    options initial_settings,
    const clock_port& time,
    gateway_peer_port& others,
    const serving_view& servers,
    directory_port& store)
    : loop(context)
    , settings(std::move(initial_settings))
    , clock(time)
    , peers(others)
    , view(servers)
    , directory(store)
    , tracker(this->settings.tracking, time.now())
    , timer(context)
{
}

void origin_controller::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void origin_controller::post(std::function<void()> action)
{
    asio::post(
        this->loop,
        [this, action = std::move(action)]
        {
            if (!this->stopped)
                action();
        });
}

void origin_controller::deployment_changed(const deployment& configuration)
{
    for (const path_route& route : configuration.routes)
    {
        if (route.resumable)
            this->tracker.set_stream_lifetime(
                route.timeout + this->settings.lifetime_margin);
    }
}

void origin_controller::routers_listed(std::span<const router_address> all)
{
    std::vector<origin_tracker::router> routers;
    routers.reserve(all.size());
    for (const router_address& one : all)
        routers.push_back({one.name, one.address});
    this->tracker.set_routers(std::move(routers), this->clock.now());
    this->flush();
}

void origin_controller::servers_changed()
{
    std::set<std::pair<software_version, std::string_view>> present;
    for (const auto& [id, record] : this->view.servers())
        present.emplace(record.software, record.entry.service);
    std::vector<listed_software> listed;
    listed.reserve(present.size());
    for (const auto& [software, service] : present)
        listed.push_back({key_of_service(service), software});
    this->tracker.servers_listed(listed, this->clock.now());
}

void origin_controller::message_received(
    const origin_message& message, std::string_view from)
{
    this->tracker.message_received(
        message, from, this->directory.registry_age(), this->clock.now());
    this->flush();
}

void origin_controller::began(stream_key stream, software_version software)
{
    this->post(
        [this, stream, software]
        {
            this->tracker.began(stream, software, this->clock.now());
            this->flush();
        });
}

void origin_controller::find(origin_question question, handler on_answer)
{
    this->post(
        [this,
         question = std::move(question),
         on_answer = std::move(on_answer)]() mutable
        {
            this->ask(question, std::move(on_answer));
        });
}

void origin_controller::ask(const origin_question& question, handler on_answer)
{
    origin_tracker::question asked;
    asked.id = ++this->last_question;
    asked.stream = question.stream;
    for (const std::string& service : question.services)
        asked.services.push_back(key_of_service(service));
    this->handlers.emplace(asked.id, std::move(on_answer));
    this->tracker.ask(asked, this->directory.registry_age(), this->clock.now());
    this->flush();
}

void origin_controller::read_registry_log()
{
    this->directory.read_registry_log(
        [this](const std::optional<registry_log>& log)
        {
            if (this->stopped || !log)
                return;
            std::vector<listed_software> seen;
            seen.reserve(log->writes.size());
            for (const registry_write& one : log->writes)
                seen.push_back({key_of_service(one.service), one.software});
            const instant now = this->clock.now();
            const instant since =
                log->from_beginning
                    ? instant()
                    : now - time_covered(*log, this->settings.heartbeat);
            this->tracker.add_past(seen, since, now);
            this->flush();
        });
}

void origin_controller::flush()
{
    if (this->tracker.take_log_wanted())
        this->read_registry_log();
    for (const origin_tracker::outgoing_message& message :
         this->tracker.take_messages())
        this->peers.send(message.recipients, message.content);
    for (const origin_tracker::answer& answer : this->tracker.take_answers())
    {
        const auto found = this->handlers.extract(answer.question);
        if (found)
            found.mapped()(answer.origin);
    }
    this->schedule_tick();
}

void origin_controller::schedule_tick()
{
    const instant next = this->tracker.next_tick();
    if (next >= this->tick_at)
        return;
    this->tick_at = next;
    const duration wait =
        std::max<duration>(next - this->clock.now(), duration::zero());
    this->timer.expires_after(wait);
    this->timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            this->tick_at = instant::max();
            this->tracker.tick(
                this->directory.registry_age(), this->clock.now());
            this->flush();
        });
}

} // namespace roseworks::app
