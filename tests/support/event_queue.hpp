#pragma once

#include <roseworks/instant.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace roseworks::testing
{

/// Runs actions in virtual time. Actions of one instant run in the order in
/// which they were scheduled.
class event_queue
{
public:
    instant now() const
    {
        return this->time;
    }

    void schedule(instant when, std::function<void()> action)
    {
        this->events.push({when, ++this->last_number, std::move(action)});
    }

    /// Runs what is due and advances the time.
    void run_until(instant when)
    {
        while (!this->events.empty() && this->events.top().at <= when)
        {
            const event next = this->events.top();
            this->events.pop();
            this->time = std::max(this->time, next.at);
            next.action();
        }
        this->time = when;
    }

private:
    struct event
    {
        instant at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator>(const event& other) const
        {
            return std::tie(this->at, this->number) >
                   std::tie(other.at, other.number);
        }
    };

    instant time = instant(std::chrono::seconds(1000));
    std::uint64_t last_number = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
};

} // namespace roseworks::testing
