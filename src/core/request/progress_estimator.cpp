#include "core/request/progress_estimator.hpp"

#include <algorithm>
#include <bit>
#include <functional>

namespace roseworks
{

namespace
{

constexpr std::uint32_t max_backoff = 64;
constexpr std::uint32_t bytes_per_token = 4;
/// Prompt tokens processed in the time it takes to generate one token.
constexpr std::uint32_t prefill_speedup = 16;
constexpr unsigned size_bits = 6;
/// Margin for the other load of the engine, which changes the gaps between the
/// events of a stream.
constexpr int gap_factor = 4;

/// @return The binary order of magnitude of the work before the first byte,
///         measured in generated tokens.
std::uint64_t size_class(const request_profile& profile)
{
    const std::uint64_t prefill =
        profile.prompt_bytes / (bytes_per_token * prefill_speedup);
    const std::uint64_t tokens = profile.streamed ? 0 : profile.max_tokens;
    return std::bit_width(prefill + tokens);
}

} // namespace

duration progress_estimator::first_byte_limit(
    const request_profile& profile,
    connection_kind connection,
    duration ceiling) const
{
    const auto found = this->entries.find(key_of(profile));
    if (found == this->entries.end())
        return ceiling;
    const auto expected = found->second.first_byte.upper_bound();
    if (!expected)
        return ceiling;
    const int factor =
        connection == connection_kind::fresh ? fresh_connection_factor : 1;
    const duration limit =
        std::max(*expected, min_limit) * factor * found->second.backoff;
    return std::min(limit, ceiling);
}

void progress_estimator::record_first_byte(
    const request_profile& profile, duration first_byte, instant now)
{
    const std::uint64_t key = key_of(profile);
    if (!this->entries.contains(key))
        this->evict_oldest();
    entry& known = this->entries[key];
    const auto expected = known.first_byte.upper_bound();
    if (expected && first_byte <= std::max(*expected, min_limit))
        known.backoff = 1;
    known.first_byte.add(first_byte);
    known.last_used = now;
}

void progress_estimator::record_timeout(const request_profile& profile)
{
    const auto found = this->entries.find(key_of(profile));
    if (found == this->entries.end())
        return;
    std::uint32_t& backoff = found->second.backoff;
    backoff = std::min(backoff * 2, max_backoff);
}

std::uint64_t progress_estimator::key_of(const request_profile& profile)
{
    const std::uint64_t name = std::hash<std::string_view>()(profile.target);
    const std::uint64_t shape =
        size_class(profile) * 2 + (profile.streamed ? 1 : 0);
    return (name << (size_bits + 1)) ^ shape;
}

void progress_estimator::evict_oldest()
{
    if (this->entries.size() < max_entries)
        return;
    const auto oldest = std::min_element(
        this->entries.begin(),
        this->entries.end(),
        [](const auto& left, const auto& right)
        {
            return left.second.last_used < right.second.last_used;
        });
    this->entries.erase(oldest);
}

void stream_gap_estimator::record_event(instant now)
{
    if (this->has_event)
        this->gap.add(now - this->last);
    this->has_event = true;
    this->last = now;
}

duration stream_gap_estimator::limit(duration ceiling) const
{
    const auto expected = this->gap.upper_bound();
    if (!expected)
        return ceiling;
    return std::min(std::max(*expected * gap_factor, min_limit), ceiling);
}

} // namespace roseworks
