#include "limited_fleet.hpp"

#include <algorithm>
#include <optional>

namespace roseworks::testing
{

namespace
{

const engine_id limited_engine(1);

/// Time that routers have to learn of a limit.
constexpr duration grace_period = 500ms;
constexpr duration window = 4s;

} // namespace

limited_fleet::limited_fleet(const options& config)
    : router_fleet(config)
    , settings(config)
{
}

void limited_fleet::run_request(std::size_t number, const grant& granted)
{
    const instant sent = this->queue.now();
    std::uniform_int_distribution<duration::rep> length(
        this->settings.service.count(), 2 * this->settings.service.count());
    const instant end = sent + duration(length(this->random));
    if (granted.engine == limited_engine)
    {
        const bool is_announced = this->announced_since != instant::max();
        this->arrivals.push_back(
            {sent,
             is_announced && sent - this->announced_since >= grace_period});
    }
    this->schedule_on(
        number,
        end,
        [this, number, granted, sent]
        {
            this->answer(number, granted, sent);
        });
}

void limited_fleet::answer(
    std::size_t number, const grant& granted, instant sent)
{
    router& target = this->routers[number];
    if (granted.engine == limited_engine)
    {
        const auto named = this->announced_since <= this->queue.now()
                               ? std::optional(this->settings.per_second)
                               : std::nullopt;
        target.limits->handle_answer(
            server_name(granted.engine), named, sent, this->queue.now());
    }
    attempt_result result;
    result.total = this->queue.now() - sent;
    result.first_byte = result.total / 2;
    this->end_attempt(number, granted, result);
}

std::size_t limited_fleet::worst_window() const
{
    std::size_t worst = 0;
    std::size_t first = 0;
    std::size_t count = 0;
    for (const arrival& entry : this->arrivals)
    {
        count += entry.is_counted ? 1 : 0;
        for (; this->arrivals[first].when + window < entry.when; ++first)
            count -= this->arrivals[first].is_counted ? 1 : 0;
        worst = std::max(worst, count);
    }
    return worst;
}

double limited_fleet::allowed() const
{
    constexpr double tolerance = 1.5;
    constexpr double extra = 5;
    const double seconds = std::chrono::duration<double>(window).count();
    return tolerance * this->settings.per_second * seconds + extra;
}

std::size_t limited_fleet::arrived_within(duration length) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->arrivals,
        [this, length](const arrival& entry)
        {
            return entry.when > this->queue.now() - length;
        }));
}

} // namespace roseworks::testing
