#pragma once

#include "standins/common/exchange.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace roseworks::standins
{

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
    virtual void start(asio::io_context&) {}

    /// Answers one request: `POST /control`, `GET /ledger`, or the service's
    /// own protocol. A `bad_request` is answered with 400.
    asio::awaitable<void> handle(exchange& call);

private:
    /// Changes the behaviour; throws `bad_request` and changes nothing when
    /// the command can't be read.
    virtual void control(const json::object& command) = 0;

    /// What really ran.
    [[nodiscard]] virtual json::object ledger() const = 0;

    /// Answers a request of the service's own protocol.
    virtual asio::awaitable<void> serve(exchange& call) = 0;
};

/// Answers 404.
asio::awaitable<void> send_not_found(exchange& call);

/// Answers with a JSON object that holds just this error.
asio::awaitable<void>
send_error(exchange& call, unsigned status, std::string error);

} // namespace roseworks::standins
