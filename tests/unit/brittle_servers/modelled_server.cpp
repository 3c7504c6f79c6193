#include "modelled_server.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::testing
{

using namespace std::chrono_literals;

modelled_server::modelled_server(event_queue& events, options config)
    : queue(events)
    , settings(config)
{
}

void modelled_server::set_brittle(bool is_brittle, std::size_t tolerated)
{
    this->brittle = is_brittle;
    this->max_rejections = tolerated;
}

void modelled_server::receive(duration work, handler done)
{
    const std::size_t places = this->brittle
                                   ? this->settings.brittle_queue_places
                                   : this->settings.queue_places;
    if (this->is_down)
        done(result::unreachable);
    else if (this->running.size() < this->settings.slots)
        this->run({work, std::move(done)});
    else if (this->waiting.size() < places)
        this->waiting.push_back({work, std::move(done)});
    else
        this->reject(done);
}

void modelled_server::run(request one)
{
    this->running.push_back(std::move(one.done));
    this->queue.schedule(
        this->queue.now() + one.work,
        [this, work = one.work, ran_in = this->life]
        {
            if (ran_in != this->life)
                return;
            this->busy_time += work;
            // All runs are alike, so the oldest one stands for the one that
            // ended.
            const handler done = std::move(this->running.front());
            this->running.erase(this->running.begin());
            if (!this->waiting.empty())
            {
                request next = std::move(this->waiting.front());
                this->waiting.pop_front();
                this->run(std::move(next));
            }
            done(result::answered);
        });
}

void modelled_server::reject(const handler& done)
{
    const instant now = this->queue.now();
    this->rejections.push_back(now);
    const auto recent = std::ranges::count_if(
        this->rejections,
        [now](instant when)
        {
            return now - when < 1s;
        });
    done(result::rejected);
    if (this->brittle &&
        recent > static_cast<std::ptrdiff_t>(this->max_rejections))
        this->fall();
}

void modelled_server::fall()
{
    ++this->life;
    this->is_down = true;
    this->fallen_at.push_back(this->queue.now());
    std::vector<handler> broken = std::exchange(this->running, {});
    for (request& one : std::exchange(this->waiting, {}))
        broken.push_back(std::move(one.done));
    this->queue.schedule(
        this->queue.now() + this->settings.recovery,
        [this]
        {
            this->is_down = false;
        });
    for (const handler& done : broken)
        done(result::broken);
}

std::size_t modelled_server::falls(instant from) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->fallen_at,
        [from](instant when)
        {
            return when >= from;
        }));
}

std::size_t modelled_server::worst_second(instant from) const
{
    std::size_t worst = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < this->rejections.size(); ++i)
    {
        while (this->rejections[first] < from ||
               this->rejections[i] - this->rejections[first] >= 1s)
        {
            if (first == i)
                break;
            ++first;
        }
        if (this->rejections[i] >= from)
            worst = std::max(worst, i - first + 1);
    }
    return worst;
}

} // namespace roseworks::testing
