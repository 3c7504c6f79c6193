#pragma once

#include <roseworks/ids.hpp>

#include <string>

namespace roseworks::detail
{

/// @return The idempotency id of a load: one for each replica, whoever orders
///         it and however often.
inline std::string load_order_id(replica_id replica)
{
    return "load-" + std::to_string(replica.value);
}

} // namespace roseworks::detail
