#pragma once

#include "core/crashes/crash_keeper.hpp"
#include "core/crashes/crash_tracker.hpp"
#include "core/crashes/request_gate.hpp"
#include "simulated_request.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
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
        std::variant<crash_report, part_crash_report> content;
    };

    using archive = std::map<std::uint64_t, archived_block>; ///< by subject

    /// @param kept What outlives the routers; has to outlive this one.
    crash_router(
        std::size_t number, std::size_t routers, archive& kept, instant now)
        : own_number(number)
        , stored(&kept)
        , tracker(
              std::make_unique<crash_tracker>(make_options(number, now), now))
        , keeper(std::make_unique<crash_keeper>(*this->tracker))
        , gate({.seed = number + 1})
    {
        this->set_routers(routers);
        std::vector<archived_block> all;
        for (const auto& [subject, block] : kept)
            all.push_back(block);
        this->keeper->restore(all, wall_of(now), now);
    }

    void set_routers(std::size_t count)
    {
        std::vector<std::string> others;
        for (std::size_t i = 0; i < count; ++i)
        {
            if (i != this->own_number)
                others.push_back(std::to_string(i));
        }
        this->tracker->set_routers(
            std::move(others), std::to_string(this->own_number));
    }

    /// @param began When the first event was received; empty: not yet.
    void run_broken(
        const simulated_request& request,
        const simulated_life& life,
        std::optional<instant> began,
        instant now)
    {
        const run_content run{
            request.content, this->parts_of(request, now), began, event_gap};
        this->tracker->run_broken(
            run, hash_of(life), run_end::connection, now, now);
    }

    void
    life_ended(const simulated_life& life, crash_evidence evidence, instant now)
    {
        this->tracker->life_ended(hash_of(life), evidence, now);
    }

    void life_reached(const simulated_life& life, instant now)
    {
        this->tracker->life_reached(hash_of(life), now);
    }

    /// @param began When the first event was received.
    void answered(const simulated_request& request, instant began, instant now)
    {
        this->gate.answered(request.content, now);
        if (this->known().suspects.contains(request.content))
            this->tracker->run_answered(request.content, now);
        this->tracker->parts_answered(this->parts_of(request, now), began, now);
        for (const fingerprint part : request.parts)
            this->good_parts.add(part, now);
    }

    /// @return Whether the request may be sent, or when it may return.
    request_gate::decision admit(const simulated_request& request, instant now)
    {
        std::vector<fingerprint> subjects = request.parts;
        subjects.push_back(request.content);
        request_gate::decision decision;
        for (const fingerprint one : subjects)
            decision.retry_after = std::max(
                decision.retry_after,
                this->gate.refused_for(this->known(), one, now));
        if (decision.retry_after > duration::zero())
        {
            decision.result = request_gate::outcome::refused;
            return decision;
        }
        for (const fingerprint one : subjects)
            this->admit_subject(one, now);
        return decision;
    }

    void receive(const message& sent, std::size_t from, instant now)
    {
        std::visit(
            [&](const auto& report)
            {
                this->tracker->report_received(
                    report, std::to_string(from), now);
            },
            sent.content);
    }

    void tick(instant now)
    {
        this->tracker->tick(now);
    }

    /// Writes what the archive lacks.
    void update_archive(instant now)
    {
        crash_keeper::changes changes =
            this->keeper->take_changes(wall_of(now), now);
        for (archived_block& block : changes.written)
        {
            const std::uint64_t subject = block.subject;
            (*this->stored)[subject] = std::move(block);
        }
        for (const std::uint64_t subject : changes.removed)
            this->stored->erase(subject);
    }

    std::vector<message> take_messages()
    {
        std::vector<message> messages;
        const auto add = [&messages](const auto& reports)
        {
            for (const auto& report : reports)
            {
                for (const std::string& address : report.recipients)
                    messages.push_back(
                        {false, std::stoul(address), report.content});
            }
        };
        add(this->tracker->take_reports());
        add(this->tracker->take_part_reports());
        return messages;
    }

private:
    /// Longest gap between two events of the simulated answers.
    static constexpr duration event_gap = std::chrono::milliseconds(200);

    /// @return What the control thread has published.
    const blocked_requests& known()
    {
        if (this->tracker->take_is_changed() || !this->published)
            this->published = this->tracker->blocked();
        return *this->published;
    }

    std::vector<prompt_part>
    parts_of(const simulated_request& request, instant now) const
    {
        std::vector<prompt_part> parts;
        for (const fingerprint part : request.parts)
            parts.push_back({part, this->good_parts.contains(part, now)});
        return parts;
    }

    void admit_subject(fingerprint subject, instant now)
    {
        const auto decision = this->gate.admit(this->known(), subject, now);
        if (decision.result == request_gate::outcome::harmless)
            this->tracker->run_answered(subject, now);
        if (decision.result == request_gate::outcome::trial)
            this->tracker->trial_started(subject, now);
    }

    static crash_tracker::options make_options(std::size_t number, instant now)
    {
        crash_tracker::options made;
        made.router = std::to_string(number);
        made.seed = static_cast<std::uint64_t>(
            now.time_since_epoch().count() + static_cast<std::int64_t>(number));
        return made;
    }

    static stamp_ms wall_of(instant now)
    {
        return std::chrono::floor<std::chrono::milliseconds>(
                   now.time_since_epoch())
            .count();
    }

    static server_life hash_of(const simulated_life& life)
    {
        return life_of(life.server, life.born_ms);
    }

    std::size_t own_number;
    archive* stored;
    std::unique_ptr<crash_tracker> tracker;
    std::unique_ptr<crash_keeper> keeper;
    request_gate gate;
    recent_answers good_parts{4096, std::chrono::seconds(20)};
    blocked_requests_ptr published;
};

} // namespace roseworks::testing
