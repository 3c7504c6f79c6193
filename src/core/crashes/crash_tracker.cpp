#include "core/crashes/crash_tracker.hpp"

#include <algorithm>
#include <iterator>

namespace roseworks
{

crash_tracker::crash_tracker(options chosen, instant now)
    : settings(std::move(chosen))
    , detector(this->settings.detection)
    , records(this->settings.records)
    , random(this->settings.seed)
    , started_at(now)
    , next_offer(now)
    , answers_left(this->settings.answers_per_interval)
{
}

void crash_tracker::set_routers(std::vector<std::string> addresses)
{
    this->routers = std::move(addresses);
}

void crash_tracker::run_broken(
    fingerprint request,
    server_life life,
    run_end end,
    instant sent,
    instant now)
{
    this->detector.run_broken(request, life, end, sent, now);
    this->record_detected(now);
}

void crash_tracker::life_reached(server_life life, instant now)
{
    this->detector.life_reached(life, now);
    for (const fingerprint request : this->detector.take_harmless())
        this->run_answered(request, now);
}

void crash_tracker::life_ended(
    server_life life, crash_evidence evidence, instant now)
{
    this->detector.life_ended(life, evidence, now);
    this->record_detected(now);
}

void crash_tracker::record_detected(instant now)
{
    crash_report update;
    for (const detected_crash& crash : this->detector.take_crashes())
    {
        const crash_record record{
            crash.request.value,
            crash.life.value,
            (now - crash.broken_at).count(),
            crash.evidence,
            false};
        if (this->add(record, {}, now))
            update.crashes.push_back(record);
    }
    if (!update.crashes.empty())
        this->send_to_all(std::move(update));
}

bool crash_tracker::add(
    const crash_record& record, std::string_view from, instant now)
{
    const fingerprint request(record.request);
    const std::size_t before = this->records.blocking_lives(request);
    if (!this->records.add(record, now))
        return false;
    this->is_changed = true;
    if (record.cleared)
    {
        this->add_cleared(request, 1, from);
        return true;
    }
    crash_change recorded;
    recorded.request = request;
    recorded.life = server_life(record.life);
    recorded.evidence = record.evidence;
    recorded.age = duration(record.age_us);
    recorded.from = from;
    this->changes.push_back(std::move(recorded));
    const std::size_t lives = this->records.blocking_lives(request);
    if (lives <= before)
        return true;
    crash_change block;
    block.what = crash_change::kind::blocked;
    block.request = request;
    block.lives = lives;
    block.blocked_for =
        std::max(this->records.blocked_until(request) - now, duration::zero());
    this->changes.push_back(std::move(block));
    return true;
}

void crash_tracker::add_cleared(
    fingerprint request, std::size_t lives, std::string_view from)
{
    crash_change cleared;
    cleared.what = crash_change::kind::cleared;
    cleared.request = request;
    cleared.lives = lives;
    cleared.from = from;
    this->changes.push_back(std::move(cleared));
}

void crash_tracker::run_answered(fingerprint request, instant now)
{
    const std::size_t lives = this->records.clear(request);
    if (lives == 0)
        return;
    this->is_changed = true;
    this->add_cleared(request, lives, {});
    crash_report update;
    update.crashes = this->records.crashes_of(request, now);
    this->send_to_all(std::move(update));
}

void crash_tracker::trial_started(fingerprint request, instant now)
{
    const trial_record trial{request.value, this->random(), 0};
    if (!this->records.add(trial, now))
        return;
    this->is_changed = true;
    crash_report update;
    update.trials.push_back(trial);
    this->send_to_all(std::move(update));
}

void crash_tracker::send_to_all(crash_report report)
{
    if (this->routers.empty())
        return;
    report.router = this->settings.router;
    report.digest = this->records.digest();
    this->reports.push_back({this->routers, std::move(report)});
}

crash_report crash_tracker::full_report(report_stage stage, instant now) const
{
    crash_report report;
    report.router = this->settings.router;
    report.stage = stage;
    report.digest = this->records.digest();
    report.crashes =
        this->records.crashes(now, this->settings.records.max_announced);
    report.trials = this->records.trials(now);
    return report;
}

void crash_tracker::report_received(
    const crash_report& report, std::string_view from, instant now)
{
    for (const crash_record& record : report.crashes)
        this->add(record, report.router, now);
    for (const trial_record& trial : report.trials)
        this->is_changed = this->records.add(trial, now) || this->is_changed;
    this->answer(report, from, now);
}

void crash_tracker::answer(
    const crash_report& report, std::string_view from, instant now)
{
    const bool is_answered = report.stage == report_stage::offer ||
                             report.stage == report_stage::answer;
    if (!is_answered || report.digest == this->records.digest() ||
        this->answers_left == 0)
        return;
    --this->answers_left;
    const report_stage stage = report.stage == report_stage::offer
                                   ? report_stage::answer
                                   : report_stage::last;
    this->reports.push_back(
        {{std::string(from)}, this->full_report(stage, now)});
}

void crash_tracker::tick(instant now)
{
    this->detector.tick(now);
    this->is_changed = this->records.tick(now) || this->is_changed;
    if (now < this->next_offer)
        return;
    this->next_offer = now + this->settings.offer_interval;
    this->answers_left = this->settings.answers_per_interval;
    const bool has_started =
        now - this->started_at >= this->settings.start_period;
    if (!has_started || !this->records.empty())
        this->send_offers(now);
}

void crash_tracker::send_offers(instant now)
{
    crash_report offer = this->full_report(report_stage::offer, now);
    if (offer.crashes.size() > this->settings.records_per_offer)
        offer.crashes.resize(this->settings.records_per_offer);
    std::vector<std::string> chosen;
    std::ranges::sample(
        this->routers,
        std::back_inserter(chosen),
        static_cast<std::ptrdiff_t>(this->settings.offers_per_interval),
        this->random);
    if (!chosen.empty())
        this->reports.push_back({std::move(chosen), std::move(offer)});
}

} // namespace roseworks
