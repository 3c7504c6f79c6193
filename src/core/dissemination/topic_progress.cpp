#include "core/dissemination/topic_progress.hpp"

#include <algorithm>

namespace roseworks
{

topic_progress::topic_progress(options chosen)
    : settings(chosen)
{
}

void topic_progress::read(std::uint64_t next, instant as_of)
{
    this->known = std::max(this->known.value_or(0), next);
    this->known_as_of = std::max(this->known_as_of, as_of);
    this->last_read = std::max(this->last_read, as_of);
    // Announced changes that the store did not return are forgotten until they
    // are announced again. Otherwise a store that lags behind the announcements
    // would be read over and over without a pause.
    this->announced = *this->known;
}

void topic_progress::copied(std::uint64_t next, instant as_of)
{
    this->known = std::max(this->known.value_or(0), next);
    this->known_as_of = std::max(this->known_as_of, as_of);
    this->announced = std::max(this->announced, *this->known);
}

std::optional<std::uint64_t> topic_progress::apply_announcement(
    std::uint64_t from, std::uint64_t next, instant as_of)
{
    if (!this->known || next < *this->known)
        return std::nullopt;
    if (!this->is_behind())
        this->announced_at = as_of;
    this->announced = std::max(this->announced, next);
    const bool is_contiguous = from <= *this->known;
    if (next > *this->known && !is_contiguous)
        return std::nullopt;
    const bool has_new = next > *this->known;
    const std::uint64_t first = *this->known;
    this->known = next;
    this->known_as_of = std::max(this->known_as_of, as_of);
    return has_new ? std::optional(first) : std::nullopt;
}

bool topic_progress::is_behind() const
{
    return this->known && this->announced > *this->known;
}

std::optional<instant> topic_progress::behind_since() const
{
    return this->is_behind() ? std::optional(this->announced_at) : std::nullopt;
}

instant topic_progress::next_read_at() const
{
    if (!this->known)
        return instant::min();
    const instant too_old = this->known_as_of + this->settings.max_age;
    if (!this->is_behind())
        return too_old;
    return std::min(
        too_old, this->last_read + this->settings.min_read_interval);
}

} // namespace roseworks
