#pragma once

#include "core/crashes/archived_block.hpp"
#include "core/crashes/crash_change.hpp"
#include "core/crashes/crash_detector.hpp"
#include "core/crashes/crash_exchange.hpp"
#include "core/crashes/crash_ledger.hpp"
#include "core/crashes/crash_report.hpp"
#include "core/crashes/part_ledger.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace roseworks
{

/** What one router knows of requests, and of parts of prompts, that crash
    backend servers, and what it sends to the others.

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
        part_ledger::options parts;
        std::uint64_t seed = 1;
    };

    using outgoing_report = crash_exchange<crash_ledger>::outgoing;
    using outgoing_part_report = crash_exchange<part_ledger>::outgoing;

    crash_tracker(options settings, instant now);

    crash_tracker(const crash_tracker&) = delete;
    crash_tracker& operator=(const crash_tracker&) = delete;

    /// @param others Addresses of all other routers.
    /// @param own    Address of this one; empty: not listed yet.
    void set_routers(std::vector<std::string> others, std::string own);

    /// @param sent When the request was sent to the server.
    void run_broken(
        const run_content& content,
        server_life life,
        run_end end,
        instant sent,
        instant now);
    void life_reached(server_life life, instant now);
    void life_ended(server_life life, crash_evidence evidence, instant now);

    /// A run of a suspected request ended well.
    void run_answered(fingerprint request, instant now);

    /// An answer on suspected parts of its prompt ended well.
    /// @param began When the server began to write it.
    void parts_answered(
        std::span<const prompt_part> answered, instant began, instant now);

    /// This router sends, as a trial, a blocked request or one with a blocked
    /// part.
    void trial_started(fingerprint subject, instant now);

    /// @param from Address of the sender.
    void report_received(
        const crash_report& report, std::string_view from, instant now);
    void report_received(
        const part_crash_report& report, std::string_view from, instant now);

    void tick(instant now);

    /// Adds what an archive holds of a blocked request or part.
    /// @param age Time since it was written.
    void restore(const archived_block& block, duration age, instant now);

    /// @return The records of all that is blocked, for an archive.
    std::vector<archived_block> blocked_records(instant now) const;

    /// @return Whether this router is one of those that write the archive's
    ///         block of a subject.
    bool keeps(fingerprint subject) const;

    std::vector<outgoing_report> take_reports()
    {
        return this->exchange.take_reports();
    }

    std::vector<outgoing_part_report> take_part_reports()
    {
        return this->part_exchange.take_reports();
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

    /// @return The requests and parts that are blocked now.
    blocked_requests_ptr blocked() const;

private:
    void record_detected(instant now);
    void record_request(
        const detected_crash& crash,
        instant now,
        std::vector<crash_record>& added);
    void record_parts(
        const detected_crash& crash,
        instant now,
        std::vector<part_crash_record>& added);
    /// @return Whether the record was new.
    bool add(const crash_record& record, std::string_view from, instant now);
    bool
    add(const part_crash_record& record, std::string_view from, instant now);
    /// @return This router's place in the order of all routers that a subject
    ///         determines, from 0.
    std::size_t rank_for(fingerprint subject) const;
    /// @return Time from the end of a part's block until this router may try.
    duration trial_delay(fingerprint part) const;
    /// Lets the blocked parts explain ends of lives, and notes which parts have
    /// become blocked.
    void judge_parts(instant now);
    void add_cleared(
        fingerprint subject,
        bool is_part,
        std::size_t lives,
        std::string_view from);

    options settings;
    crash_detector detector;
    crash_ledger records;
    part_ledger parts;
    std::vector<std::string> other_routers; ///< addresses
    std::string own_address;
    crash_exchange<crash_ledger> exchange;
    crash_exchange<part_ledger> part_exchange;
    /// Blocked parts, with the number of moments at which lives ended.
    std::unordered_map<fingerprint, std::size_t> known_blames;
    std::vector<crash_change> changes;
    bool is_changed = false;
};

} // namespace roseworks
