#pragma once

#include "core/crashes/crash_report.hpp"

#include <roseworks/instant.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace roseworks
{

/** Keeps the records of a ledger the same at all routers.

    Changes are sent to all routers at once. Besides, a router that knows of any
    crash offers its records to a few others, drawn at random, at short
    intervals. Two routers whose digests differ exchange all records. A router
    that has just started asks others itself. Without crashes nothing is sent.

    @tparam Ledger `crash_ledger` or `part_ledger`.
*/
template <class Ledger>
class crash_exchange
{
public:
    using record = typename Ledger::record;
    using report = basic_crash_report<record>;

    struct options
    {
        std::string router; ///< name
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
    struct outgoing
    {
        std::vector<std::string> recipients; ///< addresses
        report content;
    };

    crash_exchange(const Ledger& records, options chosen, instant now)
        : ledger(records)
        , settings(std::move(chosen))
        , random(this->settings.seed)
        , started_at(now)
        , next_offer(now)
        , answers_left(this->settings.answers_per_interval)
    {
    }

    /// @param addresses Addresses of all other routers.
    void set_routers(std::vector<std::string> addresses)
    {
        this->routers = std::move(addresses);
    }

    void
    send_to_all(std::vector<record> crashes, std::vector<trial_record> trials)
    {
        if (this->routers.empty() || (crashes.empty() && trials.empty()))
            return;
        report change;
        change.router = this->settings.router;
        change.crashes = std::move(crashes);
        change.trials = std::move(trials);
        this->reports.push_back({this->routers, std::move(change)});
    }

    /// Answers another router's report, after its records were added.
    /// @param from Address of the router.
    void answer(const report& received, std::string_view from, instant now)
    {
        const bool is_answered = received.stage == report_stage::offer ||
                                 received.stage == report_stage::answer;
        if (!is_answered || this->answers_left == 0 ||
            received.digest == this->ledger.digest())
            return;
        --this->answers_left;
        const report_stage stage = received.stage == report_stage::offer
                                       ? report_stage::answer
                                       : report_stage::last;
        this->reports.push_back(
            {{std::string(from)}, this->full_report(stage, now)});
    }

    void tick(instant now)
    {
        if (now < this->next_offer)
            return;
        this->next_offer = now + this->settings.offer_interval;
        this->answers_left = this->settings.answers_per_interval;
        const bool has_started =
            now - this->started_at >= this->settings.start_period;
        if (!has_started || !this->ledger.empty())
            this->send_offers(now);
    }

    std::vector<outgoing> take_reports()
    {
        return std::exchange(this->reports, {});
    }

    std::uint64_t random_number()
    {
        return this->random();
    }

private:
    report full_report(report_stage stage, instant now) const
    {
        report made;
        made.router = this->settings.router;
        made.stage = stage;
        made.digest = this->ledger.digest();
        made.crashes = this->ledger.announced(now);
        made.trials = this->ledger.trials(now);
        return made;
    }

    void send_offers(instant now)
    {
        std::vector<std::string> chosen;
        std::ranges::sample(
            this->routers,
            std::back_inserter(chosen),
            static_cast<std::ptrdiff_t>(this->settings.offers_per_interval),
            this->random);
        if (chosen.empty())
            return;
        report offer = this->full_report(report_stage::offer, now);
        if (offer.crashes.size() > this->settings.records_per_offer)
            offer.crashes.resize(this->settings.records_per_offer);
        this->reports.push_back({std::move(chosen), std::move(offer)});
    }

    const Ledger& ledger;
    options settings;
    std::mt19937_64 random;
    std::vector<std::string> routers; ///< addresses of the others
    std::vector<outgoing> reports;
    instant started_at;
    instant next_offer;
    std::size_t answers_left = 0; ///< in this interval
};

} // namespace roseworks
