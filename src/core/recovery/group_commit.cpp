#include "core/recovery/group_commit.hpp"

#include <roseworks/codec.hpp>

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

namespace
{

constexpr unsigned max_doublings = 20;

std::uint64_t next_random(std::uint64_t& state)
{
    state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t value = state;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
}

} // namespace

group_commit::group_commit(options wanted)
    : settings(wanted)
    , random_state(wanted.seed)
{
}

std::uint64_t group_commit::submit(record_payload payload, stamp_ms wall)
{
    const std::uint64_t sequence = ++this->last_sequence;
    record value;
    value.id.author = this->settings.author;
    value.id.incarnation = this->settings.incarnation;
    value.id.sequence = sequence;
    value.stamp = wall;
    value.payload = std::move(payload);
    this->queued.push_back({sequence, encode(value)});
    this->unread[sequence] = {this->settings.incarnation, std::nullopt};
    return sequence;
}

void group_commit::next_incarnation()
{
    ++this->settings.incarnation;
}

bool group_commit::withdraw(std::uint64_t sequence)
{
    const auto place = std::find_if(
        this->queued.begin(),
        this->queued.end(),
        [&](const entry& candidate)
        {
            return candidate.sequence == sequence;
        });
    if (place == this->queued.end())
    {
        return false;
    }
    this->queued.erase(place);
    this->unread.erase(sequence);
    return true;
}

void group_commit::flush(instant now, std::vector<control_command>& out)
{
    if (this->awaiting_answer || now < this->retry_at)
    {
        return;
    }
    if (this->batch.empty())
    {
        this->fill_batch();
    }
    if (!this->batch.empty())
    {
        this->hand_out(now, out);
    }
}

void group_commit::fill_batch()
{
    std::size_t bytes = 0;
    while (!this->queued.empty())
    {
        const std::size_t size = this->queued.front().bytes.size();
        if (!this->batch.empty() &&
            bytes + size > this->settings.max_batch_bytes)
        {
            return;
        }
        bytes += size;
        this->batch.push_back(std::move(this->queued.front()));
        this->queued.pop_front();
    }
}

void group_commit::hand_out(instant now, std::vector<control_command>& out)
{
    append_batch append;
    append.batch = ++this->last_batch;
    for (const entry& item : this->batch)
    {
        append.entries.push_back(item.bytes);
        std::optional<instant>& first = this->unread[item.sequence].handed_out;
        if (!first)
        {
            first = now;
        }
    }
    this->awaiting_answer = true;
    out.emplace_back(std::move(append));
}

void group_commit::answered(
    std::uint64_t number, append_outcome outcome, instant now)
{
    if (!this->awaiting_answer || number != this->last_batch)
    {
        return;
    }
    this->awaiting_answer = false;
    if (outcome == append_outcome::done)
    {
        this->batch.clear();
        this->failures = 0;
        this->retry_at = now;
        return;
    }
    this->retry_at = now + this->backoff();
}

duration group_commit::backoff()
{
    const unsigned doublings = std::min(this->failures++, max_doublings);
    const duration whole = std::min<duration>(
        this->settings.retry_max,
        this->settings.retry_min * (1LL << doublings));
    const duration half = whole / 2;
    const auto spread = static_cast<std::uint64_t>(half.count()) + 1;
    return half + duration(static_cast<duration::rep>(
                      next_random(this->random_state) % spread));
}

std::optional<instant> group_commit::read_back(const record_id& id)
{
    const auto place = this->unread.find(id.sequence);
    if (id.author != this->settings.author || place == this->unread.end() ||
        id.incarnation != place->second.incarnation)
    {
        return std::nullopt;
    }
    const std::optional<instant> first = place->second.handed_out;
    this->unread.erase(place);

    const bool was_in_batch = std::erase_if(
                                  this->batch,
                                  [&](const entry& item)
                                  {
                                      return item.sequence == id.sequence;
                                  }) != 0;
    if (was_in_batch && this->batch.empty())
    {
        // All of it is in the log: there is nothing to wait for.
        this->awaiting_answer = false;
        this->failures = 0;
        this->retry_at = instant{};
    }
    return first;
}

bool group_commit::pending(std::uint64_t sequence) const
{
    return this->unread.contains(sequence);
}

bool group_commit::idle() const
{
    return this->unread.empty();
}

instant group_commit::next_tick() const
{
    const bool has_work = !this->batch.empty() || !this->queued.empty();
    if (!has_work || this->awaiting_answer)
    {
        return instant::max();
    }
    return this->retry_at;
}

} // namespace roseworks::detail
