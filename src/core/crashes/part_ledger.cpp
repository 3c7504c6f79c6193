#include "core/crashes/part_ledger.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace roseworks
{

namespace
{

duration age_of(instant when, instant now)
{
    return std::max(now - when, duration::zero());
}

std::uint64_t hash_of(const part_crash_record& record)
{
    const std::array<std::uint64_t, 3> values{
        record.part, record.life, record.cleared ? 1U : 0U};
    return XXH64(values.data(), sizeof(values), 0);
}

} // namespace

part_ledger::part_ledger(options chosen)
    : settings(chosen)
{
}

bool part_ledger::add(const part_crash_record& record, instant now)
{
    const duration age(record.age_us);
    const auto evidence = static_cast<std::uint8_t>(record.evidence);
    if (record.part == 0 || age < duration::zero() ||
        age > this->settings.lifetime || evidence == 0 ||
        evidence > last_crash_evidence)
        return false;
    suspect& one = this->suspects[fingerprint(record.part)];
    const bool is_newly_known_well = record.ran_well && !one.ran_well;
    one.ran_well = one.ran_well || record.ran_well;
    one.position = std::max(one.position, record.position);
    const fingerprint request(record.request);
    const auto [place, added] = one.ends.try_emplace(
        server_life(record.life),
        known_end{now - age, request, record.evidence, record.cleared});
    known_end& known = place->second;
    const bool is_better =
        is_proof(record.evidence) && !is_proof(known.evidence);
    const bool is_newly_cleared = record.cleared && !known.cleared;
    const bool is_other_request = request < known.request;
    if (is_better)
        known.evidence = record.evidence;
    known.cleared = known.cleared || record.cleared;
    known.request = std::min(known.request, request);
    const bool is_changed = added || is_better || is_newly_cleared ||
                            is_other_request || is_newly_known_well;
    this->is_judged = this->is_judged && !is_changed;
    this->record_count += added ? 1 : 0;
    if (this->record_count > this->settings.max_records)
        this->drop_least_important();
    return is_changed;
}

bool part_ledger::add(const trial_record& record, instant now)
{
    const duration age(record.age_us);
    const auto found = this->suspects.find(fingerprint(record.request));
    if (found == this->suspects.end() || age < duration::zero() ||
        age > this->settings.trial_length)
        return false;
    this->is_judged = false;
    return found->second.trials.try_emplace(record.number, now - age).second;
}

std::size_t part_ledger::clear(fingerprint part, instant began)
{
    const auto found = this->suspects.find(part);
    if (found == this->suspects.end())
        return 0;
    std::size_t count = 0;
    for (auto& [life, end] : found->second.ends)
    {
        if (end.broken_at < began)
            count += std::exchange(end.cleared, true) ? 0 : 1;
    }
    this->is_judged = this->is_judged && count == 0;
    return count;
}

bool part_ledger::tick(instant now)
{
    std::size_t changes = this->settle(now);
    for (auto place = this->suspects.begin(); place != this->suspects.end();)
    {
        suspect& one = place->second;
        changes += std::erase_if(
            one.trials,
            [this, now](const auto& entry)
            {
                return now - entry.second > this->settings.trial_length;
            });
        if (!this->is_expired(place->first, one, now))
        {
            ++place;
            continue;
        }
        this->record_count -= one.ends.size();
        place = this->suspects.erase(place);
        ++changes;
    }
    this->is_judged = this->is_judged && changes == 0;
    return changes != 0;
}

std::size_t part_ledger::settle(instant now)
{
    const instant before =
        std::exchange(this->settled_until, now - this->settings.settling);
    std::size_t count = 0;
    const auto is_newly_settled = [before, this](const auto& entry)
    {
        const instant when = entry.second.broken_at;
        return when > before && when <= this->settled_until;
    };
    for (const auto& [part, one] : this->suspects)
    {
        const auto ends = std::ranges::count_if(one.ends, is_newly_settled);
        const auto least =
            static_cast<std::ptrdiff_t>(this->settings.block_threshold);
        count += ends >= least ? 1 : 0;
    }
    return count;
}

bool part_ledger::is_expired(
    fingerprint part, const suspect& one, instant now) const
{
    instant last = instant::min();
    for (const auto& [life, end] : one.ends)
        last = std::max(last, end.broken_at);
    const bool is_blamed = this->last_judgement.blamed.contains(part);
    return now - last > (is_blamed ? this->settings.lifetime
                                   : this->settings.single_lifetime);
}

part_ledger::weight part_ledger::weigh(
    const suspect& one, const std::unordered_set<server_life>& explained) const
{
    std::vector<const known_end*> ends;
    for (const auto& [life, end] : one.ends)
    {
        if (!end.cleared && !explained.contains(life))
            ends.push_back(&end);
    }
    weight result;
    if (ends.empty())
        return result;
    std::ranges::sort(ends, {}, &known_end::broken_at);
    result.lives = ends.size();
    result.last = ends.back()->broken_at;
    result.requests = count_requests(ends);
    const std::span<const known_end* const> all(ends);
    instant blocked_from = instant::max();
    std::size_t first = 0;
    while (first < all.size())
    {
        const instant moment_end =
            all[first]->broken_at + this->settings.moment;
        std::size_t next = first + 1;
        while (next < all.size() && all[next]->broken_at < moment_end)
            ++next;
        // What ends while the part is blocked ends under trials: each counts.
        const bool is_trial = all[first]->broken_at > blocked_from;
        result.moments += is_trial ? next - first : 1;
        if (!result.has_mass_end &&
            this->is_mass_end(one, all.subspan(first, next - first)))
        {
            result.has_mass_end = true;
            result.moments += this->settings.block_threshold - 1;
            blocked_from = all[next - 1]->broken_at + this->settings.settling;
        }
        first = next;
    }
    return result;
}

bool part_ledger::is_mass_end(
    const suspect& one, std::span<const known_end* const> ends) const
{
    return !one.ran_well && ends.size() >= this->settings.block_threshold &&
           ends.back()->broken_at <= this->settled_until &&
           count_requests(ends) >= this->settings.block_threshold;
}

std::size_t part_ledger::count_requests(std::span<const known_end* const> ends)
{
    std::vector<fingerprint> requests;
    for (const known_end* end : ends)
        requests.push_back(end->request);
    std::ranges::sort(requests);
    const auto end = std::unique(requests.begin(), requests.end());
    return static_cast<std::size_t>(std::distance(requests.begin(), end));
}

part_ledger::suspect_map::const_iterator
part_ledger::worst(const judgement& so_far) const
{
    // Parts that had run well are blamed last. Of parts with as many ends, the
    // one that comes later in prompts is in fewer of them.
    using key = std::
        tuple<bool, std::size_t, std::size_t, std::uint8_t, fingerprint::rep>;
    auto found = this->suspects.end();
    key most;
    for (auto place = this->suspects.begin(); place != this->suspects.end();
         ++place)
    {
        const auto& [part, one] = *place;
        if (one.ends.size() < this->settings.block_threshold ||
            so_far.blamed.contains(part))
            continue;
        const weight counted = this->weigh(one, so_far.explained);
        if (counted.moments < this->settings.block_threshold ||
            counted.requests < this->settings.min_requests)
            continue;
        const key current(
            !one.ran_well,
            counted.moments,
            counted.lives,
            one.position,
            part.value);
        if (found == this->suspects.end() || current > most)
        {
            found = place;
            most = current;
        }
    }
    return found;
}

void part_ledger::blame_part(
    judgement& into, suspect_map::const_iterator part) const
{
    const suspect& one = part->second;
    const weight counted = this->weigh(one, into.explained);
    const duration length =
        this->block_length(counted.moments - this->settings.block_threshold);
    blame made{
        counted.moments,
        counted.lives,
        counted.last + length,
        length == duration::zero() && !counted.has_mass_end};
    for (const auto& [number, started] : one.trials)
        made.until =
            std::max(made.until, started + this->settings.trial_length);
    into.blamed.emplace(part->first, made);
    for (const auto& [life, end] : one.ends)
    {
        if (!end.cleared)
            into.explained.insert(life);
    }
}

const part_ledger::judgement& part_ledger::judge() const
{
    if (this->is_judged)
        return this->last_judgement;
    judgement made;
    for (auto next = this->worst(made); next != this->suspects.end();
         next = this->worst(made))
        this->blame_part(made, next);
    this->last_judgement = std::move(made);
    this->is_judged = true;
    return this->last_judgement;
}

const std::unordered_map<fingerprint, part_ledger::blame>&
part_ledger::blamed() const
{
    return this->judge().blamed;
}

const std::unordered_set<server_life>& part_ledger::explained() const
{
    return this->judge().explained;
}

duration part_ledger::block_length(std::size_t beyond) const
{
    if (beyond == 0)
        return duration::zero();
    duration length = this->settings.first_block;
    for (std::size_t i = 1; i < beyond && length < this->settings.longest_block;
         ++i)
        length *= this->settings.block_growth;
    return std::min(length, this->settings.longest_block);
}

std::vector<fingerprint> part_ledger::by_importance() const
{
    using key = std::pair<std::size_t, fingerprint::rep>;
    std::vector<key> order;
    order.reserve(this->suspects.size());
    for (const auto& [part, one] : this->suspects)
        order.emplace_back(this->weigh(one, {}).lives, part.value);
    std::ranges::sort(order, std::greater<>());
    std::vector<fingerprint> parts;
    parts.reserve(order.size());
    for (const auto& [lives, part] : order)
        parts.emplace_back(part);
    return parts;
}

void part_ledger::drop_least_important()
{
    // Several at once, because finding them takes a look at all.
    const std::size_t kept = this->settings.max_records / 4 * 3;
    std::vector<fingerprint> order = this->by_importance();
    while (this->record_count > kept && order.size() > 1)
    {
        const auto least = this->suspects.find(order.back());
        this->record_count -= least->second.ends.size();
        this->suspects.erase(least);
        order.pop_back();
    }
    this->is_judged = false;
}

void part_ledger::append(
    std::vector<part_crash_record>& into,
    fingerprint part,
    const suspect& one,
    instant now)
{
    for (const auto& [life, end] : one.ends)
        into.push_back(
            {part.value,
             life.value,
             end.request.value,
             age_of(end.broken_at, now).count(),
             end.evidence,
             one.position,
             one.ran_well,
             end.cleared});
}

std::vector<part_crash_record>
part_ledger::crashes(instant now, std::size_t most) const
{
    std::vector<part_crash_record> records;
    for (const fingerprint part : this->by_importance())
    {
        if (records.size() >= most)
            break;
        append(records, part, this->suspects.at(part), now);
    }
    return records;
}

std::vector<part_crash_record>
part_ledger::crashes_of(fingerprint part, instant now) const
{
    std::vector<part_crash_record> records;
    const auto found = this->suspects.find(part);
    if (found != this->suspects.end())
        append(records, part, found->second, now);
    return records;
}

std::vector<trial_record> part_ledger::trials(instant now) const
{
    std::vector<trial_record> records;
    for (const auto& [part, one] : this->suspects)
    {
        for (const auto& [number, started] : one.trials)
            records.push_back(
                {part.value, number, age_of(started, now).count()});
    }
    return records;
}

std::uint64_t part_ledger::digest() const
{
    std::uint64_t sum = 0;
    for (const part_crash_record& record :
         this->crashes(instant(), this->settings.max_announced))
        sum ^= hash_of(record);
    return sum;
}

void part_ledger::publish(blocked_requests& into) const
{
    for (const auto& [part, one] : this->suspects)
        into.suspects.insert(part);
    for (const auto& [part, known] : this->blamed())
    {
        into.blocked_until.emplace(part, known.until);
        if (known.tries_at_once)
            into.tried_at_once.insert(part);
    }
}

} // namespace roseworks
