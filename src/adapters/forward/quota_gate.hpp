#pragma once

#include "adapters/edge/call_inbox.hpp"
#include "ports/quota_port.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <optional>

namespace roseworks::forward
{

/** Delays a request until it is within its organisation's limit.

    If the call is interrupted meanwhile, its reserved quota is returned. Used
    only on the call's event loop.
*/
class quota_gate
{
public:
    quota_gate(quota_port& limits, boost::asio::any_io_executor executor);

    /// Requests quota, and waits as long as the decision says.
    /// @return The decision; empty if the call was interrupted.
    boost::asio::awaitable<std::optional<quota_decision>>
    acquire(quota_request request, edge::call_inbox& inbox);

private:
    quota_port& limits;
    boost::asio::any_io_executor executor;
};

} // namespace roseworks::forward
