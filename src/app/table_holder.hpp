#pragma once

#include <roseworks/routing_table.hpp>

#include <mutex>
#include <utility>

namespace roseworks::app
{

/// The newest routing table, handed from the control thread to the others.
class table_holder
{
public:
    void put(routing_table_ptr newest)
    {
        const std::lock_guard lock(this->mutex);
        // The old table is released after the lock, by the argument.
        std::swap(this->table, newest);
    }

    /// @return The newest table; null before the first.
    routing_table_ptr get() const
    {
        const std::lock_guard lock(this->mutex);
        return this->table;
    }

private:
    mutable std::mutex mutex;
    routing_table_ptr table;
};

} // namespace roseworks::app
