#pragma once

#include <roseworks/routing_table.hpp>

#include <mutex>
#include <utility>

namespace roseworks::app
{

/// The newest table, handed from the control thread to the others.
template <class TablePtr>
class newest_table
{
public:
    void put(TablePtr newest)
    {
        const std::lock_guard lock(this->mutex);
        // The old table is released after the lock, by the argument.
        std::swap(this->table, newest);
    }

    /// @return The newest table; null before the first.
    TablePtr get() const
    {
        const std::lock_guard lock(this->mutex);
        return this->table;
    }

private:
    mutable std::mutex mutex;
    TablePtr table;
};

using table_holder = newest_table<routing_table_ptr>;

} // namespace roseworks::app
