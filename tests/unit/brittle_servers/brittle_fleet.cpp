#include "brittle_fleet.hpp"

#include <algorithm>

namespace roseworks::testing
{

brittle_fleet::brittle_fleet(const options& config)
    : router_fleet(config)
    , settings(config)
{
    for (std::size_t i = 0; i < config.engines; ++i)
        this->servers.push_back(
            std::make_unique<modelled_server>(this->queue, config.server));
}

void brittle_fleet::set_brittle(bool is_brittle)
{
    for (const auto& one : this->servers)
        one->set_brittle(is_brittle, this->settings.max_rejections);
}

double brittle_fleet::capacity() const
{
    constexpr double mean_factor = 1.5;
    const double run =
        std::chrono::duration<double>(this->settings.shortest_run).count() *
        mean_factor;
    return this->slots() / run;
}

double brittle_fleet::slots() const
{
    return static_cast<double>(
        this->servers.size() * this->settings.server.slots);
}

std::size_t brittle_fleet::falls(instant from) const
{
    std::size_t sum = 0;
    for (const auto& one : this->servers)
        sum += one->falls(from);
    return sum;
}

std::size_t brittle_fleet::allowed_falls() const
{
    constexpr std::size_t base = 2;
    constexpr std::size_t servers_per_fall = 10;
    return base + this->servers.size() / servers_per_fall;
}

std::size_t brittle_fleet::worst_second(instant from) const
{
    std::size_t worst = 0;
    for (const auto& one : this->servers)
        worst = std::max(worst, one->worst_second(from));
    return worst;
}

duration brittle_fleet::busy() const
{
    duration sum{};
    for (const auto& one : this->servers)
        sum += one->busy();
    return sum;
}

duration brittle_fleet::one_way()
{
    std::uniform_int_distribution<duration::rep> delay(
        this->settings.shortest_delay.count(),
        this->settings.longest_delay.count());
    return duration(delay(this->random));
}

void brittle_fleet::run_request(std::size_t number, const grant& granted)
{
    const instant sent = this->now();
    std::uniform_int_distribution<duration::rep> length(
        this->settings.shortest_run.count(),
        2 * this->settings.shortest_run.count());
    const duration work(length(this->random));
    // Server events are not dropped when the router restarts.
    this->queue.schedule(
        sent + this->one_way(),
        [this, number, granted, sent, work, run = this->routers[number].run]
        {
            this->servers[granted.engine.value - 1]->receive(
                work,
                [this, number, granted, sent, run](
                    modelled_server::result result)
                {
                    if (this->routers[number].run != run)
                        return;
                    this->schedule_on(
                        number,
                        this->now() + this->one_way(),
                        [this, number, granted, sent, result]
                        {
                            this->handle_result(number, granted, sent, result);
                        });
                });
        });
}

void brittle_fleet::handle_result(
    std::size_t number,
    const grant& granted,
    instant sent,
    modelled_server::result result)
{
    using end = attempt_result::end;
    constexpr end ends[] = {
        end::answered, end::refused_not_run, end::broken, end::not_sent};
    attempt_result attempt;
    attempt.how = ends[static_cast<std::size_t>(result)];
    attempt.no_room = result == modelled_server::result::rejected;
    const bool is_response = result == modelled_server::result::answered ||
                             result == modelled_server::result::rejected;
    server_notice notice;
    if (this->servers[granted.engine.value - 1]->is_brittle())
        notice.max_rejections =
            static_cast<double>(this->settings.max_rejections);
    if (is_response)
        this->handle_notice(number, granted.engine, notice, sent);
    attempt.total = this->now() - sent;
    attempt.first_byte = attempt.total / 2;
    this->end_attempt(number, granted, attempt);
}

} // namespace roseworks::testing
