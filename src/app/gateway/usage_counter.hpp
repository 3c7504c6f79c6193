#pragma once

#include "core/swapping/peer_messages.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace roseworks::app
{

/// Counts the running requests of each servable on each engine. The traffic
/// thread updates the counts, and the control thread reads them. Thread-safe.
class usage_counter
{
public:
    void started(const std::string& servable, const std::string& engine)
    {
        const std::lock_guard lock(this->mutex);
        row& one = this->rows[{servable, engine}];
        ++one.running;
        ++one.started;
        one.changed = true;
    }

    /// @return Whether this was the last running request of the servable on the
    ///         engine.
    bool ended(const std::string& servable, const std::string& engine)
    {
        const std::lock_guard lock(this->mutex);
        row& one = this->rows[{servable, engine}];
        --one.running;
        one.changed = true;
        return one.running == 0;
    }

    /// @return The usage that has dropped to zero since it was last taken.
    std::vector<servable_usage> take_ended()
    {
        return this->take(
            [](const row& one)
            {
                return one.changed && one.running == 0;
            });
    }

    /// @return The current usage, and usage that has dropped to zero since it
    ///         was last taken.
    std::vector<servable_usage> take_all()
    {
        return this->take(
            [](const row& one)
            {
                return one.changed || one.running != 0;
            });
    }

private:
    struct row
    {
        std::uint32_t running = 0;
        std::uint32_t started = 0;
        bool changed = false;
    };

    template <class Wanted>
    std::vector<servable_usage> take(Wanted wanted)
    {
        const std::lock_guard lock(this->mutex);
        std::vector<servable_usage> uses;
        for (auto& [key, one] : this->rows)
        {
            if (!wanted(one))
                continue;
            uses.push_back({key.first, key.second, one.running, one.started});
            one.started = 0;
            one.changed = false;
        }
        std::erase_if(
            this->rows,
            [](const auto& entry)
            {
                return entry.second.running == 0 && !entry.second.changed;
            });
        return uses;
    }

    std::mutex mutex;
    std::map<std::pair<std::string, std::string>, row> rows;
};

} // namespace roseworks::app
