#include "app/gateway/engine_reach.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>
#include <vector>

namespace roseworks::app
{

namespace asio = boost::asio;

engine_reach::engine_reach(
    asio::io_context& context,
    options chosen,
    const clock_port& time,
    engine_command_port& engine_commands,
    edge::connection_opener& direct_way,
    reach_opinion_port& other_routers,
    callbacks handlers)
    : loop(context)
    , settings(chosen)
    , clock(time)
    , engines(engine_commands)
    , direct(direct_way)
    , others(other_routers)
    , notify(std::move(handlers))
    , reach(chosen.reach)
    , round_timer(context)
{
}

void engine_reach::start()
{
    this->schedule_round();
}

void engine_reach::stop()
{
    this->stopped = true;
    this->round_timer.cancel();
}

void engine_reach::send_command(
    const engine_command& command,
    std::function<bool()> allowed,
    command_done done)
{
    this->engines.send_command(
        command,
        std::move(allowed),
        [this, address = command.address, done = std::move(done)](
            command_outcome outcome)
        {
            const bool has_no_answer = outcome == command_outcome::not_sent ||
                                       outcome == command_outcome::unknown;
            if (has_no_answer)
                this->unanswered(address);
            else if (outcome != command_outcome::withheld)
                this->answered(address);
            done(outcome);
        });
}

void engine_reach::read_report(
    const std::string& engine, const std::string& address, report_done done)
{
    this->engines.read_report(
        engine,
        address,
        [this, engine, address, done = std::move(done)](
            const std::optional<holdings_report>& report)
        {
            if (report)
                this->answered(address);
            else
                this->unanswered(address);
            if (report && report->leaving)
                this->notify.on_leaving(engine);
            done(report);
        });
}

void engine_reach::answered(const std::string& address)
{
    this->unanswered_engines.erase(address);
    this->reach.direct_opened(address, this->clock.now());
    this->report_change();
}

void engine_reach::unanswered(const std::string& address)
{
    const instant now = this->clock.now();
    this->unanswered_engines.try_emplace(address, missing_answer{now, now})
        .first->second.last = now;
}

void engine_reach::schedule_round()
{
    this->round_timer.expires_after(this->settings.round_interval);
    this->round_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            this->start_tests();
            this->schedule_round();
        });
}

void engine_reach::start_tests()
{
    const instant now = this->clock.now();
    this->reach.tick(now);
    this->report_change();
    if (!this->reach.is_cut_off())
        std::erase_if(
            this->unanswered_engines,
            [&](const auto& entry)
            {
                return now - entry.second.last > this->settings.test_period;
            });
    std::vector<std::string> due;
    for (auto& [address, missing] : this->unanswered_engines)
    {
        if (due.size() == this->settings.max_tests_per_round)
            break;
        if (now < missing.next_test)
            continue;
        missing.next_test = now + this->settings.test_interval;
        due.push_back(address);
    }
    // A test may end at once and change the map.
    for (std::string& address : due)
        asio::co_spawn(
            this->loop, this->test(std::move(address)), asio::detached);
}

asio::awaitable<void> engine_reach::test(std::string address)
{
    edge::backend_connection connection(
        this->loop.get_executor(), address, 0, this->clock.now(), nullptr);
    const edge::connect_result result =
        co_await this->direct.open(connection, this->settings.connect_timeout);
    if (this->stopped)
        co_return;
    if (result == edge::connect_result::opened)
    {
        this->answered(address);
        co_return;
    }
    this->reach.direct_failed(
        address,
        result == edge::connect_result::refused
            ? server_reach::failure::refused
            : server_reach::failure::no_answer,
        this->clock.now());
    this->others.ask(
        address,
        [this, address](reach_opinion found)
        {
            this->handle_opinion(address, found);
        });
}

void engine_reach::handle_opinion(
    const std::string& address, reach_opinion found)
{
    const instant now = this->clock.now();
    if (found == reach_opinion::reached)
        this->reach.opened_by_other(address, now);
    else
        this->reach.unreached_by_all(address, now);
    // Only engines that others reach can show that this router reaches them
    // again.
    if (found != reach_opinion::reached && this->reach.is_cut_off())
        this->unanswered_engines.erase(address);
    this->report_change();
}

void engine_reach::report_change()
{
    const bool is_cut_off = this->reach.is_cut_off();
    if (is_cut_off != std::exchange(this->was_cut_off, is_cut_off))
        this->notify.on_change(is_cut_off);
}

} // namespace roseworks::app
