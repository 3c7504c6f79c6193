#include "core/routing/server_pace.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

namespace
{

/// Nothing has waited for the server since then.
constexpr duration forgotten_after = std::chrono::seconds(2);

} // namespace

void server_pace::limit(double requests)
{
    const bool begins_or_ends = (requests > 0) != this->is_limited();
    if (begins_or_ends)
        *this = server_pace();
    this->per_second = requests;
    if (begins_or_ends && requests > 0)
        this->usual_turn = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1 / requests));
}

std::optional<instant> server_pace::changes_at() const
{
    if (!this->is_limited())
        return std::nullopt;
    if (this->is_asked)
        return this->last_asked + longest_answer;
    return this->allowed_from ? *this->allowed_from : this->ask_again;
}

duration server_pace::turn(instant now) const
{
    const duration waited =
        this->waiting_since ? now - *this->waiting_since : duration::zero();
    return std::max(this->usual_turn, waited);
}

duration server_pace::next_in(instant now) const
{
    const auto until = [now](instant when)
    {
        return std::max<duration>(when - now, duration::zero());
    };
    if (this->allowed_from)
        return until(*this->allowed_from);
    const duration retry = this->is_asked || this->ask_again <= now
                               ? duration::zero()
                               : until(this->ask_again);
    if (!this->waiting_since)
        return retry;
    // One that is overdue isn't there yet, either.
    const duration left = std::max(
        until(*this->waiting_since + this->usual_turn), this->usual_turn / 2);
    return std::max(retry, left);
}

void server_pace::asked(bool waits, instant now)
{
    const bool anew =
        !this->waiting_since || now - this->last_asked >= forgotten_after;
    if (waits && anew)
        this->waiting_since = now;
    this->is_asked = true;
    this->last_asked = now;
}

void server_pace::allowed(instant from)
{
    this->is_asked = false;
    if (!this->is_limited())
        return;
    this->allowed_from = from;
    if (this->waiting_since)
        this->usual_turn =
            (this->usual_turn + (from - *this->waiting_since)) / 2;
    this->waiting_since.reset();
}

void server_pace::refused(instant retry)
{
    this->is_asked = false;
    this->ask_again = retry;
}

bool server_pace::withdraw()
{
    return std::exchange(this->allowed_from, std::nullopt).has_value();
}

} // namespace roseworks::detail
