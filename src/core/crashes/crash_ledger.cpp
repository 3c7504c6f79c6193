#include "core/crashes/crash_ledger.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <functional>

namespace roseworks
{

namespace
{

duration age_of(instant when, instant now)
{
    return std::max(now - when, duration::zero());
}

std::uint64_t hash_of(const crash_record& record)
{
    const std::array<std::uint64_t, 3> parts{
        record.request,
        record.life,
        (is_proof(record.evidence) ? 1U : 0U) | (record.cleared ? 2U : 0U)};
    return XXH64(parts.data(), sizeof(parts), 0);
}

} // namespace

crash_ledger::crash_ledger(options chosen)
    : settings(chosen)
{
}

bool crash_ledger::add(const crash_record& record, instant now)
{
    const duration age(record.age_us);
    const auto evidence = static_cast<std::uint8_t>(record.evidence);
    if (record.request == 0 || age < duration::zero() ||
        age > this->settings.lifetime || evidence == 0 ||
        evidence > last_crash_evidence)
        return false;
    suspect& one = this->suspects[fingerprint(record.request)];
    const auto [place, added] = one.crashes.try_emplace(
        server_life(record.life),
        known_crash{now - age, record.evidence, record.cleared});
    if (added)
    {
        ++this->record_count;
        if (this->record_count > this->settings.max_records)
            this->drop_least_important();
        return true;
    }
    known_crash& known = place->second;
    const bool is_better =
        is_proof(record.evidence) && !is_proof(known.evidence);
    const bool is_newly_cleared = record.cleared && !known.cleared;
    if (is_better)
        known.evidence = record.evidence;
    known.cleared = known.cleared || record.cleared;
    return is_better || is_newly_cleared;
}

bool crash_ledger::add(const trial_record& record, instant now)
{
    const duration age(record.age_us);
    const auto found = this->suspects.find(fingerprint(record.request));
    if (found == this->suspects.end() || age < duration::zero() ||
        age > this->settings.trial_length)
        return false;
    return found->second.trials.try_emplace(record.number, now - age).second;
}

std::size_t crash_ledger::clear(fingerprint request)
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end())
        return 0;
    std::size_t count = 0;
    for (auto& [life, crash] : found->second.crashes)
        count += std::exchange(crash.cleared, true) ? 0 : 1;
    return count;
}

bool crash_ledger::tick(instant now)
{
    std::size_t changes = std::erase_if(
        this->suspects,
        [this, now](const auto& entry)
        {
            const bool is_expired = this->is_expired(entry.second, now);
            this->record_count -= is_expired ? entry.second.crashes.size() : 0;
            return is_expired;
        });
    for (auto& [request, one] : this->suspects)
        changes += std::erase_if(
            one.trials,
            [this, now](const auto& entry)
            {
                return now - entry.second > this->settings.trial_length;
            });
    return changes != 0;
}

bool crash_ledger::is_expired(const suspect& one, instant now) const
{
    instant last = instant::min();
    for (const auto& [life, crash] : one.crashes)
        last = std::max(last, crash.broken_at);
    const bool was_blocked = this->blocking_lives(one) != 0;
    return now - last > (was_blocked ? this->settings.lifetime
                                     : this->settings.single_lifetime);
}

std::size_t crash_ledger::blocking_lives(const suspect& one) const
{
    std::size_t proven = 0;
    std::size_t all = 0;
    for (const auto& [life, crash] : one.crashes)
    {
        if (crash.cleared || this->explained.contains(life))
            continue;
        ++all;
        proven += is_proof(crash.evidence) ? 1 : 0;
    }
    if (all >= this->settings.unproven_threshold)
        return all;
    return proven >= this->settings.block_threshold ? proven : 0;
}

std::size_t crash_ledger::blocking_lives(fingerprint request) const
{
    const auto found = this->suspects.find(request);
    return found == this->suspects.end() ? 0
                                         : this->blocking_lives(found->second);
}

duration crash_ledger::block_length(std::size_t lives) const
{
    if (lives <= this->settings.block_threshold)
        return this->settings.first_block;
    duration length = this->settings.second_block;
    const std::size_t doublings = lives - this->settings.block_threshold - 1;
    for (std::size_t i = 0;
         i < doublings && length < this->settings.longest_block;
         ++i)
        length *= 2;
    return std::min(length, this->settings.longest_block);
}

instant crash_ledger::blocked_until(const suspect& one) const
{
    instant last = instant::min();
    for (const auto& [life, crash] : one.crashes)
    {
        if (!crash.cleared)
            last = std::max(last, crash.broken_at);
    }
    instant until = last + this->block_length(this->blocking_lives(one));
    for (const auto& [number, started] : one.trials)
        until = std::max(until, started + this->settings.trial_length);
    return until;
}

instant crash_ledger::blocked_until(fingerprint request) const
{
    return this->blocked_until(this->suspects.at(request));
}

crash_ledger::importance crash_ledger::importance_of(const suspect& one)
{
    std::size_t count = 0;
    instant last = instant::min();
    for (const auto& [life, crash] : one.crashes)
    {
        count += crash.cleared ? 0 : 1;
        last = std::max(last, crash.broken_at);
    }
    return {count, last};
}

std::vector<fingerprint> crash_ledger::by_importance() const
{
    std::vector<std::pair<importance, fingerprint>> order;
    order.reserve(this->suspects.size());
    for (const auto& [request, one] : this->suspects)
        order.emplace_back(importance_of(one), request);
    std::ranges::sort(order, std::greater<>());
    std::vector<fingerprint> requests;
    requests.reserve(order.size());
    for (const auto& [key, request] : order)
        requests.push_back(request);
    return requests;
}

void crash_ledger::drop_least_important()
{
    const auto least = std::ranges::min_element(
        this->suspects,
        {},
        [](const auto& entry)
        {
            return importance_of(entry.second);
        });
    this->record_count -= least->second.crashes.size();
    this->suspects.erase(least);
}

void crash_ledger::append(
    std::vector<crash_record>& into,
    fingerprint request,
    const suspect& one,
    instant now)
{
    for (const auto& [life, crash] : one.crashes)
        into.push_back(
            {request.value,
             life.value,
             age_of(crash.broken_at, now).count(),
             crash.evidence,
             crash.cleared});
}

std::vector<crash_record>
crash_ledger::crashes(instant now, std::size_t most) const
{
    std::vector<crash_record> records;
    for (const fingerprint request : this->by_importance())
    {
        if (records.size() >= most)
            break;
        append(records, request, this->suspects.at(request), now);
    }
    return records;
}

std::vector<fingerprint> crash_ledger::blocked() const
{
    std::vector<fingerprint> requests;
    for (const auto& [request, one] : this->suspects)
    {
        if (this->blocking_lives(one) != 0)
            requests.push_back(request);
    }
    return requests;
}

std::vector<crash_record>
crash_ledger::crashes_of(fingerprint request, instant now) const
{
    std::vector<crash_record> records;
    const auto found = this->suspects.find(request);
    if (found != this->suspects.end())
        append(records, request, found->second, now);
    return records;
}

std::vector<trial_record> crash_ledger::trials(instant now) const
{
    std::vector<trial_record> records;
    for (const auto& [request, one] : this->suspects)
    {
        for (const auto& [number, started] : one.trials)
            records.push_back(
                {request.value, number, age_of(started, now).count()});
    }
    return records;
}

std::uint64_t crash_ledger::digest() const
{
    std::uint64_t sum = 0;
    for (const crash_record& record :
         this->crashes(instant(), this->settings.max_announced))
        sum ^= hash_of(record);
    return sum;
}

void crash_ledger::publish(blocked_requests& into) const
{
    for (const auto& [request, one] : this->suspects)
    {
        into.suspects.insert(request);
        if (this->blocking_lives(one) != 0)
            into.blocked_until.emplace(request, this->blocked_until(one));
    }
}

} // namespace roseworks
