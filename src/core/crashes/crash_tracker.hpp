#pragma once

#include "core/crashes/crash_change.hpp"
#include "core/crashes/crash_detector.hpp"
#include "core/crashes/crash_ledger.hpp"
#include "core/crashes/crash_report.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace roseworks
{

/** What one router knows of requests that crash backend servers, and what it
    tells the others.

    Each change is sent to all routers at once. Besides, a router that knows of
    any such request offers what it knows to a few others, drawn at random, at
    short intervals: so each router that was cut off, frozen or restarted, or
    that missed a message, receives several offers a second. Two routers whose
    digests differ exchange all they know. A router that has just started asks
    others itself, because they may not know it yet. Without crashes nothing is
    sent.

    Not thread-safe. Deterministic for a seed.
*/
class crash_tracker
{
public:
    struct options
    {
        std::string router; ///< name
        crash_detector::options detection;
        crash_ledger::options records;
        duration offer_interval = std::chrono::milliseconds(500);
        std::size_t offers_per_interval = 2;
        /// Records in an offer, so that it fits into one datagram. The worst
        /// are also known to routers that can't answer.
        std::size_t records_per_offer = 32;
        /// Most answers to offers within an interval.
        std::size_t answers_per_interval = 8;
        /// How long after its start a router asks others.
        duration start_period = std::chrono::seconds(3);
        std::uint64_t seed = 1;
    };

    /// A report for other routers.
    struct outgoing_report
    {
        std::vector<std::string> recipients; ///< addresses
        crash_report content;
    };

    crash_tracker(options settings, instant now);

    /// @param addresses Addresses of all other routers.
    void set_routers(std::vector<std::string> addresses);

    /// @param sent When the request was sent to the server.
    void run_broken(
        fingerprint request,
        server_life life,
        run_end end,
        instant sent,
        instant now);
    void life_reached(server_life life, instant now);
    void life_ended(server_life life, crash_evidence evidence, instant now);

    /// A run of a suspected request ended well.
    void run_answered(fingerprint request, instant now);

    /// This router sends a blocked request as a trial.
    void trial_started(fingerprint request, instant now);

    /// @param from Address of the sender.
    void report_received(
        const crash_report& report, std::string_view from, instant now);

    void tick(instant now);

    std::vector<outgoing_report> take_reports()
    {
        return std::exchange(this->reports, {});
    }

    std::vector<crash_change> take_changes()
    {
        return std::exchange(this->changes, {});
    }

    /// @return Whether `blocked` or the changes differ since the last call.
    bool take_is_changed()
    {
        return std::exchange(this->is_changed, false);
    }

    /// @return The requests that are blocked now.
    blocked_requests_ptr blocked() const
    {
        return this->records.blocked();
    }

private:
    void record_detected(instant now);
    /// @return Whether the record was new.
    bool add(const crash_record& record, std::string_view from, instant now);
    void
    add_cleared(fingerprint request, std::size_t lives, std::string_view from);
    void send_to_all(crash_report report);
    crash_report full_report(report_stage stage, instant now) const;
    void send_offers(instant now);
    void answer(const crash_report& report, std::string_view from, instant now);

    options settings;
    crash_detector detector;
    crash_ledger records;
    std::mt19937_64 random;
    std::vector<std::string> routers; ///< addresses of the others
    std::vector<outgoing_report> reports;
    std::vector<crash_change> changes;
    instant started_at;
    instant next_offer;
    std::size_t answers_left = 0; ///< in this interval
    bool is_changed = false;
};

} // namespace roseworks
