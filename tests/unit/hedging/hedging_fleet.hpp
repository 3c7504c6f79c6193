#pragma once

#include "core/hedging/attempt_race.hpp"
#include "core/hedging/hedge_policy.hpp"
#include "core/quota/hedge_limits.hpp"
#include "core/quota/quota_accountant.hpp"
#include "core/quota/quota_client.hpp"
#include "core/quota/retry_limits.hpp"
#include "event_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/** Simulates routers that send streams of one service to modelled servers, and
    hedge the late ones. The hedges are decided by the real policy and counted
   by the real accountant, whose messages take no time. A stream occupies a slot
   of its server up to its first event. One seed determines the whole run. */
class hedging_fleet
{
public:
    struct options
    {
        std::size_t routers = 84;
        std::size_t servers = 60;
        std::uint32_t slots =
            12; ///< of a server; its queue is three times that
        double requests_per_second = 560;
        duration usual_time = 60ms; ///< mean time to the first event
        double share = 0.02;        ///< 0: no hedges
        std::uint64_t seed = 1;
    };

    explicit hedging_fleet(options settings);

    /// Factor of the time that a server takes for what it begins now.
    std::function<double(std::size_t server, instant now)> slowness =
        [](std::size_t, instant)
    {
        return 1.0;
    };

    void run(duration length);

    void set_rate(double requests_per_second)
    {
        this->settings.requests_per_second = requests_per_second;
    }

    /// Forgets the results so far.
    void reset();

    /// @return The percentile of the times to the first event.
    duration percentile(double fraction) const;

    /// @return Hedges, as a share of the requests.
    double extra_share() const;

    instant now() const
    {
        return this->queue.now();
    }

    /// @return When the latest hedge was sent.
    instant last_hedge() const
    {
        return this->latest_hedge;
    }

    std::size_t hedges() const
    {
        return this->hedge_count;
    }

    std::size_t rejections() const
    {
        return this->rejection_count;
    }

private:
    struct call;

    struct attempt
    {
        std::shared_ptr<call> owner;
        race_side side = race_side::first;
        std::size_t server = 0;
        bool running = false; ///< in a slot, not in the queue
        bool ended = false;
    };

    struct call
    {
        std::size_t router = 0;
        instant sent_at;
        bool answered = false;
        std::shared_ptr<attempt> attempts[2];
        std::optional<attempt_race> race;
    };

    struct server
    {
        std::uint32_t running = 0;
        std::vector<std::shared_ptr<attempt>> waiting;
    };

    struct router
    {
        std::unique_ptr<hedge_policy> policy;
        std::unique_ptr<quota_client> client;
        std::vector<std::uint32_t> in_flight; ///< by server
    };

    void arrive(std::size_t number);
    void send(const std::shared_ptr<call>& one, race_side side, std::size_t to);
    void begin(const std::shared_ptr<attempt>& one);
    void leave_server(attempt& one);
    void end(attempt& one);
    void event_arrives(const std::shared_ptr<attempt>& one);
    void give_up(const std::shared_ptr<call>& one);
    void hedge(const std::shared_ptr<call>& one);
    void end_overlap(const std::shared_ptr<call>& one);
    /// @return The least loaded of two random servers by the router's count.
    std::optional<std::size_t>
    choose(std::size_t router, std::optional<std::size_t> except);
    bool draw(std::size_t router, const std::string& account);
    void exchange_messages(std::size_t router);
    static hedge_request request_of(const call& one);
    double random_unit();

    options settings;
    event_queue queue;
    std::mt19937_64 random;
    quota_accountant accountant;
    std::vector<router> routers;
    std::vector<server> servers;
    std::vector<duration> times;
    std::size_t request_count = 0;
    std::size_t hedge_count = 0;
    std::size_t rejection_count = 0;
    instant latest_hedge;
};

} // namespace roseworks::testing
