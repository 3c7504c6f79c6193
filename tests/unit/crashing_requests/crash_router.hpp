#pragma once

#include "core/crashes/crash_tracker.hpp"
#include "core/crashes/request_gate.hpp"
#include "simulated_request.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
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
/// the way of the gateway's control and traffic threads.
class crash_router
{
public:
    struct message
    {
        bool to_all = false;
        std::size_t to = 0;
        crash_report content;
    };

    crash_router(std::size_t number, std::size_t routers, instant now)
        : own_number(number)
        , tracker(make_options(number, now), now)
        , gate({.seed = number + 1})
    {
        this->set_routers(routers);
    }

    void set_routers(std::size_t count)
    {
        std::vector<std::string> others;
        for (std::size_t i = 0; i < count; ++i)
        {
            if (i != this->own_number)
                others.push_back(std::to_string(i));
        }
        this->tracker.set_routers(std::move(others));
    }

    /// @param began When the first event was received; empty: not yet.
    void run_broken(
        const simulated_request& request,
        const simulated_life& life,
        std::optional<instant> began,
        instant now)
    {
        static_cast<void>(began);
        this->tracker.run_broken(
            request.content, hash_of(life), run_end::connection, now, now);
    }

    void
    life_ended(const simulated_life& life, crash_evidence evidence, instant now)
    {
        this->tracker.life_ended(hash_of(life), evidence, now);
    }

    void life_reached(const simulated_life& life, instant now)
    {
        this->tracker.life_reached(hash_of(life), now);
    }

    /// @param began When the first event was received.
    void
    answered(const simulated_request& request, instant began, instant now)
    {
        static_cast<void>(began);
        this->gate.answered(request.content, now);
        if (this->tracker.blocked()->suspects.contains(request.content))
            this->tracker.run_answered(request.content, now);
    }

    /// @return Whether the request may be sent, or when it may return.
    request_gate::decision admit(const simulated_request& request, instant now)
    {
        const request_gate::decision decision =
            this->gate.admit(*this->tracker.blocked(), request.content, now);
        if (decision.result == request_gate::outcome::harmless)
            this->tracker.run_answered(request.content, now);
        if (decision.result == request_gate::outcome::trial)
            this->tracker.trial_started(request.content, now);
        return decision;
    }

    void receive(const crash_report& report, std::size_t from, instant now)
    {
        this->tracker.report_received(report, std::to_string(from), now);
    }

    void tick(instant now)
    {
        this->tracker.tick(now);
    }

    std::vector<message> take_messages()
    {
        std::vector<message> messages;
        for (const auto& report : this->tracker.take_reports())
        {
            for (const std::string& address : report.recipients)
                messages.push_back(
                    {false, std::stoul(address), report.content});
        }
        return messages;
    }

private:
    static crash_tracker::options make_options(std::size_t number, instant now)
    {
        crash_tracker::options made;
        made.router = std::to_string(number);
        made.seed = static_cast<std::uint64_t>(
            now.time_since_epoch().count() + static_cast<std::int64_t>(number));
        return made;
    }

    static server_life hash_of(const simulated_life& life)
    {
        return life_of(life.server, life.born_ms);
    }

    std::size_t own_number;
    crash_tracker tracker;
    request_gate gate;
};

} // namespace roseworks::testing
