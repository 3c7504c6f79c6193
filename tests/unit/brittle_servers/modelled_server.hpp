#pragma once

#include "event_queue.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

namespace roseworks::testing
{

/** A backend server in virtual time: it runs some requests at once, lets a few
    wait, and rejects the rest. While it is brittle, it falls over when it has
    to reject too many requests within a second, and is back some seconds later.
*/
class modelled_server
{
public:
    struct options
    {
        std::size_t slots = 6;
        std::size_t queue_places = 8;         ///< requests that may wait
        std::size_t brittle_queue_places = 0; ///< the same while brittle
        duration recovery = std::chrono::seconds(3);
    };

    enum class result
    {
        answered,
        rejected,
        broken,     ///< the server fell over while it had the request
        unreachable ///< the server is down
    };

    using handler = std::function<void(result)>;

    modelled_server(event_queue& queue, options settings);

    /// A request arrives.
    /// @param work How long it runs.
    void receive(duration work, handler done);

    /// Makes the server brittle or sound.
    /// @param rejections So many rejections within a second are tolerated.
    void set_brittle(bool is_brittle, std::size_t rejections);

    bool is_brittle() const
    {
        return this->brittle;
    }

    /// @return How often the server fell over since `from`.
    std::size_t falls(instant from) const;

    /// @return The most rejections within a second, from `from` on.
    std::size_t worst_second(instant from) const;

    std::size_t running_count() const
    {
        return this->running.size();
    }

    std::size_t waiting_count() const
    {
        return this->waiting.size();
    }

    /// @return The time in which requests ran, over all slots.
    duration busy() const
    {
        return this->busy_time;
    }

private:
    struct request
    {
        duration work;
        handler done;
    };

    void run(request one);
    void reject(const handler& done);
    void fall();

    event_queue& queue;
    options settings;
    bool brittle = false;
    std::size_t max_rejections = 0;
    bool is_down = false;
    std::size_t life = 0; ///< number of falls; ends of earlier runs are ignored
    std::vector<handler> running;
    std::deque<request> waiting;
    std::vector<instant> rejections;
    std::vector<instant> fallen_at;
    duration busy_time{};
};

} // namespace roseworks::testing
