#include "core/request/progress_estimator.hpp"

#include <algorithm>
#include <bit>
#include <functional>

namespace roseworks
{

namespace
{

constexpr std::uint32_t most_backoff = 64;
constexpr std::uint32_t bytes_per_token = 4;
/// Prompt tokens processed in the time it takes to generate one token.
constexpr std::uint32_t prefill_speedup = 16;
constexpr unsigned size_bits = 6;
/// Margin for the other load of the engine, which changes the gaps between the
/// events of a stream.
constexpr int pace_factor = 4;

/// @return The binary order of magnitude of the work before the first byte,
///         measured in generated tokens.
std::uint64_t size_class(const work_kind& work)
{
    const std::uint64_t prefill =
        work.prompt_bytes / (bytes_per_token * prefill_speedup);
    const std::uint64_t tokens = work.streamed ? 0 : work.max_tokens;
    return std::bit_width(prefill + tokens);
}

} // namespace

duration progress_estimator::first_byte_limit(
    const work_kind& work, connection_kind on, duration ceiling) const
{
    const auto found = this->entries.find(key_of(work));
    if (found == this->entries.end())
        return ceiling;
    const auto expected = found->second.first_byte.longest_expected();
    if (!expected)
        return ceiling;
    const int factor = on == connection_kind::fresh ? fresh_factor : 1;
    const duration limit =
        std::max(*expected, floor) * factor * found->second.backoff;
    return std::min(limit, ceiling);
}

void progress_estimator::answered(
    const work_kind& work, duration first_byte, instant now)
{
    const std::uint64_t key = key_of(work);
    if (!this->entries.contains(key))
        this->make_room();
    entry& known = this->entries[key];
    const auto expected = known.first_byte.longest_expected();
    if (expected && first_byte <= std::max(*expected, floor))
        known.backoff = 1;
    known.first_byte.add(first_byte);
    known.used = now;
}

void progress_estimator::ran_out(const work_kind& work)
{
    const auto found = this->entries.find(key_of(work));
    if (found == this->entries.end())
        return;
    std::uint32_t& backoff = found->second.backoff;
    backoff = std::min(backoff * 2, most_backoff);
}

std::uint64_t progress_estimator::key_of(const work_kind& work)
{
    const std::uint64_t name = std::hash<std::string_view>()(work.target);
    const std::uint64_t shape = size_class(work) * 2 + (work.streamed ? 1 : 0);
    return (name << (size_bits + 1)) ^ shape;
}

void progress_estimator::make_room()
{
    if (this->entries.size() < most_kinds)
        return;
    const auto oldest = std::min_element(
        this->entries.begin(),
        this->entries.end(),
        [](const auto& left, const auto& right)
        {
            return left.second.used < right.second.used;
        });
    this->entries.erase(oldest);
}

void stream_pace::event(instant now)
{
    if (this->begun)
        this->gap.add(now - this->last);
    this->begun = true;
    this->last = now;
}

duration stream_pace::limit(duration ceiling) const
{
    const auto expected = this->gap.longest_expected();
    if (!expected)
        return ceiling;
    return std::min(std::max(*expected * pace_factor, floor), ceiling);
}

} // namespace roseworks
