#pragma once

#include <chrono>
#include <deque>
#include <utility>

namespace roseworks::standins
{

/// A value that readers see as it was some time ago.
template <class Value>
class lagged
{
public:
    using clock = std::chrono::steady_clock;

    explicit lagged(Value first)
    {
        this->versions.push_back({clock::now(), std::move(first)});
    }

    void set_lag(std::chrono::milliseconds duration)
    {
        this->delay = duration;
    }

    [[nodiscard]] std::chrono::milliseconds lag() const
    {
        return this->delay;
    }

    /// Records a new version, as of now.
    void set(Value value)
    {
        this->versions.push_back({clock::now(), std::move(value)});
        this->forget();
    }

    /// The newest version, whatever the lag.
    [[nodiscard]] const Value& newest() const
    {
        return this->versions.back().value;
    }

    /// The newest version that is at least the lag old, or the oldest known.
    [[nodiscard]] const Value& seen()
    {
        this->forget();
        return this->versions.front().value;
    }

private:
    struct version
    {
        clock::time_point since;
        Value value;
    };

    void forget()
    {
        const clock::time_point visible = clock::now() - this->delay;
        while (this->versions.size() > 1 && this->versions[1].since <= visible)
        {
            this->versions.pop_front();
        }
    }

    std::deque<version> versions;
    std::chrono::milliseconds delay{0};
};

} // namespace roseworks::standins
