#include "core/request/circuit_breaker.hpp"

#include <algorithm>

namespace roseworks::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration first_pause = 100ms;
constexpr duration longest_pause = 1s;

/// Longer than it takes for a lost replica to leave the routing table, which is
/// two reads of the VM list and one log record. If a server is unreachable for
/// longer than this, callers no longer wait for it.
constexpr duration recovery_window = 15s;

} // namespace

bool circuit_breaker::failed(instant now)
{
    if (!this->since)
    {
        this->since = now;
        this->pause = first_pause;
        this->retry_at = now + this->pause;
    }
    else if (this->probing)
    {
        this->pause = std::min(this->pause * 2, longest_pause);
        this->retry_at = now + this->pause;
    }
    this->probing = false;
    return now - *this->since < recovery_window;
}

bool circuit_breaker::allows(instant now) const
{
    return !this->since || now >= this->retry_at;
}

void circuit_breaker::granted(instant now)
{
    if (!this->since)
    {
        return;
    }
    if (this->probing)
    {
        this->close();
        return;
    }
    this->probing = true;
    this->retry_at = now + this->pause;
}

void circuit_breaker::close()
{
    this->since.reset();
    this->probing = false;
}

std::optional<instant> circuit_breaker::opens_at() const
{
    return this->since ? std::optional(this->retry_at) : std::nullopt;
}

} // namespace roseworks::detail
