#include "core/crashes/crash_tracker.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <limits>
#include <memory>

namespace roseworks
{

namespace
{

template <class Ledger>
typename crash_exchange<Ledger>::options
exchange_options(const crash_tracker::options& settings)
{
    typename crash_exchange<Ledger>::options made;
    made.router = settings.router;
    made.seed = settings.seed;
    return made;
}

/// Highest random weight hashing: all routers choose the same one.
std::uint64_t router_weight(fingerprint subject, std::string_view router)
{
    return XXH64(router.data(), router.size(), subject.value);
}

} // namespace

crash_tracker::crash_tracker(options chosen, instant now)
    : settings(std::move(chosen))
    , detector(this->settings.detection)
    , records(this->settings.records)
    , parts(this->settings.parts)
    , exchange(
          this->records, exchange_options<crash_ledger>(this->settings), now)
    , part_exchange(
          this->parts, exchange_options<part_ledger>(this->settings), now)
{
}

void crash_tracker::set_routers(
    std::vector<std::string> others, std::string own)
{
    this->exchange.set_routers(others);
    this->part_exchange.set_routers(others);
    this->other_routers = std::move(others);
    this->own_address = std::move(own);
    this->is_changed = this->is_changed || !this->parts.blamed().empty();
}

void crash_tracker::run_broken(
    const run_content& content,
    server_life life,
    run_end end,
    instant sent,
    instant now)
{
    this->detector.run_broken(content, life, end, sent, now);
    this->record_detected(now);
}

void crash_tracker::life_reached(server_life life, instant now)
{
    this->detector.life_reached(life, now);
    for (const run_content& run : this->detector.take_harmless())
    {
        this->run_answered(run.request, now);
        if (run.began)
            this->parts_answered(run.parts, *run.began, now);
    }
}

void crash_tracker::life_ended(
    server_life life, crash_evidence evidence, instant now)
{
    this->detector.life_ended(life, evidence, now);
    this->record_detected(now);
}

void crash_tracker::record_detected(instant now)
{
    std::vector<crash_record> added;
    std::vector<part_crash_record> added_parts;
    for (const detected_crash& crash : this->detector.take_crashes())
    {
        this->record_parts(crash, now, added_parts);
        this->record_request(crash, now, added);
    }
    this->judge_parts(now);
    this->exchange.send_to_all(std::move(added), {});
    this->part_exchange.send_to_all(std::move(added_parts), {});
}

void crash_tracker::record_request(
    const detected_crash& crash, instant now, std::vector<crash_record>& added)
{
    const crash_record record{
        crash.content.request.value,
        crash.life.value,
        (now - crash.broken_at).count(),
        crash.evidence,
        false};
    if (this->add(record, {}, now))
        added.push_back(record);
}

void crash_tracker::record_parts(
    const detected_crash& crash,
    instant now,
    std::vector<part_crash_record>& added)
{
    if (!may_be_part_crash(crash.content, crash.broken_at))
        return;
    constexpr std::size_t last_position =
        std::numeric_limits<std::uint8_t>::max();
    const std::vector<prompt_part>& all = crash.content.parts;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        const part_crash_record record{
            all[i].id.value,
            crash.life.value,
            crash.content.request.value,
            (now - crash.broken_at).count(),
            crash.evidence,
            static_cast<std::uint8_t>(std::min(i, last_position)),
            all[i].ran_well,
            false};
        if (this->add(record, {}, now))
            added.push_back(record);
    }
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
        this->add_cleared(request, false, 1, from);
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

bool crash_tracker::add(
    const part_crash_record& record, std::string_view from, instant now)
{
    if (!this->parts.add(record, now))
        return false;
    this->is_changed = true;
    if (record.cleared)
        this->add_cleared(fingerprint(record.part), true, 1, from);
    return true;
}

void crash_tracker::judge_parts(instant now)
{
    std::unordered_map<fingerprint, std::size_t> current;
    for (const auto& [part, blame] : this->parts.blamed())
    {
        current.emplace(part, blame.moments);
        const auto before = this->known_blames.find(part);
        if (before != this->known_blames.end() &&
            before->second >= blame.moments)
            continue;
        crash_change block;
        block.what = crash_change::kind::blocked;
        block.request = part;
        block.is_part = true;
        block.lives = blame.lives;
        block.blocked_for = std::max(blame.until - now, duration::zero());
        block.explained = this->parts.explained().size();
        this->changes.push_back(std::move(block));
        this->is_changed = true;
    }
    if (current.empty() && this->known_blames.empty())
        return;
    this->known_blames = std::move(current);
    this->records.set_explained(this->parts.explained());
}

void crash_tracker::add_cleared(
    fingerprint subject, bool is_part, std::size_t lives, std::string_view from)
{
    crash_change cleared;
    cleared.what = crash_change::kind::cleared;
    cleared.request = subject;
    cleared.is_part = is_part;
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
    this->add_cleared(request, false, lives, {});
    this->exchange.send_to_all(this->records.crashes_of(request, now), {});
}

void crash_tracker::parts_answered(
    std::span<const prompt_part> answered, instant began, instant now)
{
    std::vector<part_crash_record> cleared;
    for (const auto& [part, ran_well] : answered)
    {
        const std::size_t lives = this->parts.clear(part, began);
        if (lives == 0)
            continue;
        this->is_changed = true;
        this->add_cleared(part, true, lives, {});
        // A single end is no reason to block, so the offers tell of it.
        if (lives < 2)
            continue;
        for (const part_crash_record& record :
             this->parts.crashes_of(part, now))
            cleared.push_back(record);
    }
    this->judge_parts(now);
    this->part_exchange.send_to_all(std::move(cleared), {});
}

void crash_tracker::trial_started(fingerprint subject, instant now)
{
    const trial_record trial{subject.value, this->exchange.random_number(), 0};
    if (this->parts.add(trial, now))
    {
        this->judge_parts(now);
        this->part_exchange.send_to_all({}, {trial});
    }
    else if (this->records.add(trial, now))
        this->exchange.send_to_all({}, {trial});
    else
        return;
    this->is_changed = true;
}

void crash_tracker::report_received(
    const crash_report& report, std::string_view from, instant now)
{
    for (const crash_record& record : report.crashes)
        this->add(record, report.router, now);
    for (const trial_record& trial : report.trials)
        this->is_changed = this->records.add(trial, now) || this->is_changed;
    this->exchange.answer(report, from, now);
}

void crash_tracker::report_received(
    const part_crash_report& report, std::string_view from, instant now)
{
    for (const part_crash_record& record : report.crashes)
        this->add(record, report.router, now);
    for (const trial_record& trial : report.trials)
        this->is_changed = this->parts.add(trial, now) || this->is_changed;
    this->judge_parts(now);
    this->part_exchange.answer(report, from, now);
}

void crash_tracker::tick(instant now)
{
    this->detector.tick(now);
    this->is_changed = this->records.tick(now) || this->is_changed;
    if (this->parts.tick(now))
    {
        this->is_changed = true;
        this->judge_parts(now);
    }
    this->exchange.tick(now);
    this->part_exchange.tick(now);
}

blocked_requests_ptr crash_tracker::blocked() const
{
    auto result = std::make_shared<blocked_requests>();
    this->records.publish(*result);
    this->parts.publish(*result);
    for (const auto& [part, blame] : this->parts.blamed())
    {
        if (!blame.tries_at_once)
            result->trial_delays.emplace(part, this->trial_delay(part));
    }
    return result;
}

duration crash_tracker::trial_delay(fingerprint part) const
{
    // Requests with the part may come to all routers at one moment, before any
    // has heard of another's trial. So the number of routers that may try
    // begins with one and doubles with each step.
    constexpr duration step = std::chrono::seconds(10);
    return step * std::bit_width(this->rank_for(part));
}

std::size_t crash_tracker::rank_for(fingerprint subject) const
{
    const std::uint64_t own = router_weight(subject, this->own_address);
    const auto before = std::ranges::count_if(
        this->other_routers,
        [subject, own](const std::string& other)
        {
            return router_weight(subject, other) > own;
        });
    return static_cast<std::size_t>(before);
}

bool crash_tracker::keeps(fingerprint subject) const
{
    // Some may be cut off from the archive, frozen, or about to end.
    constexpr std::size_t keepers = 3;
    return this->rank_for(subject) < keepers;
}

std::vector<archived_block> crash_tracker::blocked_records(instant now) const
{
    std::vector<archived_block> blocks;
    for (const auto& [part, blame] : this->parts.blamed())
    {
        archived_block& block = blocks.emplace_back();
        block.subject = part.value;
        block.part_crashes = this->parts.crashes_of(part, now);
    }
    for (const fingerprint request : this->records.blocked())
    {
        archived_block& block = blocks.emplace_back();
        block.subject = request.value;
        block.crashes = this->records.crashes_of(request, now);
    }
    return blocks;
}

void crash_tracker::restore(
    const archived_block& block, duration age, instant now)
{
    constexpr std::string_view source = "archive";
    for (crash_record record : block.crashes)
    {
        record.age_us += age.count();
        this->add(record, source, now);
    }
    for (part_crash_record record : block.part_crashes)
    {
        record.age_us += age.count();
        this->add(record, source, now);
    }
    // Ends of one moment count if they are old enough.
    this->parts.tick(now);
    this->judge_parts(now);
}

} // namespace roseworks
