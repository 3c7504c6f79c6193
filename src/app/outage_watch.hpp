#pragma once

#include <roseworks/instant.hpp>

#include <optional>

namespace roseworks::app
{

/// Turns a run of successes and failures into two events: the first failure
/// and the first success after it.
class outage_watch
{
public:
    /// @return Whether this failure is the first.
    bool failed(instant now)
    {
        if (this->since)
            return false;
        this->since = now;
        return true;
    }

    /// @return How long the outage was; empty when there was none.
    std::optional<duration> succeeded(instant now)
    {
        if (!this->since)
            return {};
        const duration lasted = now - *this->since;
        this->since.reset();
        return lasted;
    }

private:
    std::optional<instant> since;
};

} // namespace roseworks::app
