#pragma once

#include "core/request/crash_detector.hpp"
#include "core/swapping/peer_messages.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace roseworks::testing
{

/// One life of a simulated backend server.
struct simulated_life
{
    std::string server;
    std::int64_t born_ms = 0;
};

/// What one simulated router knows of requests that crash servers, joined in
/// the way of the gateway's control thread.
class crash_router
{
public:
    enum class life_end : std::uint8_t
    {
        refused_connection,
        unreachable,
        replaced_at_address,
        restarted,
        removed_from_registry
    };

    struct message
    {
        bool to_all = true;
        std::size_t to = 0;
        connection_loss_report content;
    };

    crash_router(std::size_t number, std::size_t routers)
    {
        static_cast<void>(number);
        static_cast<void>(routers);
    }

    void
    run_broken(fingerprint request, const simulated_life& life, instant now)
    {
        this->detector.record_break(request, life.server, now);
        this->messages.push_back({true, 0, {"r", request.value, life.server}});
    }

    void life_ended(const simulated_life& life, life_end how, instant now)
    {
        if (how == life_end::removed_from_registry ||
            how == life_end::restarted)
            this->detector.server_lost(life.server, now);
    }

    void life_reached(const simulated_life&, instant) {}

    void answered(fingerprint, instant) {}

    /// @return Whether the request may be sent.
    bool may_send(fingerprint request, instant)
    {
        return !this->detector.blocked().contains(request);
    }

    void receive(const connection_loss_report& report, std::size_t, instant now)
    {
        this->detector.record_break(
            fingerprint(report.request), report.server, now);
    }

    void set_routers(std::size_t) {}

    void tick(instant now)
    {
        this->detector.tick(now);
    }

    std::vector<message> take_messages()
    {
        return std::exchange(this->messages, {});
    }

private:
    crash_detector detector{crash_detector::options()};
    std::vector<message> messages;
};

} // namespace roseworks::testing
