#pragma once

#include "standins/common/exchange.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace roseworks::standins {

/// What one stand-in does. It outlives the event loop, so that coroutines
/// that are ended with the loop may still refer to it.
class service
{
public:
    service() = default;
    virtual ~service() = default;

    service(const service&) = delete;
    service& operator=(const service&) = delete;

    /// Called once, before the first request.
    virtual void start(asio::io_context&)
    {
    }

    /// Answers one request. A `bad_request` is answered with 400.
    virtual asio::awaitable<void> handle(exchange& call) = 0;
};

} // namespace roseworks::standins
