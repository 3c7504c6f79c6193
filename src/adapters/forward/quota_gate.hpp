#pragma once

#include "adapters/edge/call_inbox.hpp"
#include "ports/quota_port.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <optional>

namespace roseworks::forward
{

/** Holds a request until it is within its organisation's limit.

    What was set aside for a caller that left meanwhile is given back. Belongs
    to the call's event loop.
*/
class quota_gate
{
public:
    quota_gate(quota_port& limits, boost::asio::any_io_executor executor);

    /// @return The decision, when an allowed request may be sent; empty when
    ///         the call has to end.
    boost::asio::awaitable<std::optional<quota_decision>>
    pass(quota_request request, edge::call_inbox& inbox);

private:
    quota_port& limits;
    boost::asio::any_io_executor executor;
};

} // namespace roseworks::forward
