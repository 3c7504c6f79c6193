#pragma once

#include "standins/engine/replica_set.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <unordered_set>

namespace roseworks::standins
{

enum class order_action
{
    load,
    unload
};

/// One order to load or unload a replica.
struct order
{
    order_action action = order_action::load;
    std::uint64_t fence = 0;
    replica subject; ///< an unload names just the replica
};

/// Throws `bad_request` when a field is missing or wrong.
order parse_order(const boost::json::object& body);

/// What becomes of an order.
enum class order_outcome
{
    start_load,       ///< accepted: the load begins now
    start_unload,     ///< accepted: the unload begins now
    repeated,         ///< accepted before, or already so
    stale_fence,      ///< a newer fencing number was seen
    out_of_memory,    ///< it would not fit
    not_there,        ///< an unload of what is not resident
    base_missing,     ///< an adapter whose base model is not resident
    base_in_use,      ///< a base model whose adapters are resident
    replica_unloading ///< a load of a replica that is being unloaded
};

/// Decides orders one by one and changes the replica set accordingly.
class order_gate
{
public:
    order_gate(replica_set& set, bool fencing);

    order_outcome decide(const order& received);

    [[nodiscard]] std::uint64_t highest_fence() const;

    /// Adds the counts of orders to a ledger.
    void report(boost::json::object& ledger) const;

private:
    /// Counts the fencing number; false when the order has to be refused.
    bool pass_fence(std::uint64_t fence);

    order_outcome apply(const order& received);
    order_outcome load(const replica& wanted);
    order_outcome unload(const replica& named);

    replica_set& replicas;
    bool check_fencing;
    std::uint64_t highest = 0;
    std::unordered_set<std::string> accepted_ids;
    std::uint64_t loads = 0;
    std::uint64_t unloads = 0;
    std::uint64_t repeated_orders = 0;
    std::uint64_t stale_orders = 0;
    std::uint64_t stale_accepted = 0;
    std::uint64_t rejected_memory = 0;
};

} // namespace roseworks::standins
