#include "core/request/circuit_breaker.hpp"

#include <algorithm>

namespace roseworks::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration min_probe_interval = 100ms;
constexpr duration max_probe_interval = 1s;

/// Longer than it takes for a lost replica to leave the routing table, which is
/// two reads of the VM list and one log record. If a server is unreachable for
/// longer than this, callers no longer wait for it.
constexpr duration recovery_window = 15s;

} // namespace

bool circuit_breaker::record_failure(instant now)
{
    if (!this->open_since)
    {
        this->open_since = now;
        this->probe_interval = min_probe_interval;
        this->next_probe = now + this->probe_interval;
    }
    else if (this->probing)
    {
        this->probe_interval =
            std::min(this->probe_interval * 2, max_probe_interval);
        this->next_probe = now + this->probe_interval;
    }
    this->probing = false;
    return now - *this->open_since < recovery_window;
}

bool circuit_breaker::allows(instant now) const
{
    return !this->open_since || now >= this->next_probe;
}

void circuit_breaker::record_grant(instant now)
{
    if (!this->open_since)
    {
        return;
    }
    if (this->probing)
    {
        this->close();
        return;
    }
    this->probing = true;
    this->next_probe = now + this->probe_interval;
}

void circuit_breaker::close()
{
    this->open_since.reset();
    this->probing = false;
}

std::optional<instant> circuit_breaker::next_probe_at() const
{
    return this->open_since ? std::optional(this->next_probe) : std::nullopt;
}

} // namespace roseworks::detail
