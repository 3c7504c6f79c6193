#pragma once

#include "adapters/edge/call_inbox.hpp"
#include "ports/origin_port.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <optional>

namespace roseworks::forward
{

/// Delays a request that takes a stream up until the stream's origin is found.
/// Used only on the call's event loop.
class origin_gate
{
public:
    origin_gate(origin_port& origins, boost::asio::any_io_executor executor);

    /// @return The origin; empty if the call was interrupted.
    boost::asio::awaitable<std::optional<stream_origin>>
    find(origin_question question, edge::call_inbox& inbox);

private:
    origin_port& origins;
    boost::asio::any_io_executor executor;
};

} // namespace roseworks::forward
