#pragma once

#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/call_inbox.hpp"
#include "adapters/forward/forward_context.hpp"
#include "adapters/forward/server_exchange.hpp"
#include "core/serving/serving_table.hpp"

#include <functional>
#include <memory>
#include <string>

namespace roseworks::forward
{

/** One of the attempts of a request that may run beside another one.

    Runs on its own up to the first output: the head of the response, or of an
    event stream the first event. Closing it closes its connection, which stops
    the request on the server. Event loop only. Must be owned by a `shared_ptr`:
   the run keeps itself alive until its connection has ended.
*/
class attempt_run : public std::enable_shared_from_this<attempt_run>
{
public:
    /// What an attempt sends, and until when.
    struct parameters
    {
        outgoing_request request;
        std::string request_id; ///< echoed by the response
        bool head_only = false;
        duration longest_idle{}; ///< of a pooled connection
        instant deadline;
    };

    attempt_run(
        forward_context& shared,
        edge::backend_pool& connections,
        grant granted,
        server_identity identity,
        parameters sent);

    /// Starts to send the request. May be called only once.
    /// @param on_settled Called once on the event loop when the attempt has
    ///                   output or has ended, unless `detach` was called.
    void start(std::function<void()> on_settled);

    /// Closes the connection. Nothing is sent after that.
    void close();

    /// From now on `on_settled` isn't called.
    void detach()
    {
        this->notify = nullptr;
    }

    bool is_settled() const
    {
        return this->settled;
    }

    /// @return Whether there is a response that is not a refusal.
    bool has_output() const
    {
        return this->output;
    }

    /// Outcome of the steps so far.
    exchange_state state() const
    {
        return this->last_state;
    }

    /// @return Whether a server may have received a part of the request.
    bool may_be_sent() const
    {
        return this->settled ? this->connection.sent()
                             : this->connection.write_has_begun();
    }

    server_exchange& exchange()
    {
        return this->connection;
    }

    const grant granted;
    const server_identity server;
    const instant sent_at;

private:
    asio::awaitable<void> run();
    asio::awaitable<exchange_state> run_to_output();

    forward_context& context;
    edge::backend_pool& pool;
    parameters sent;
    std::shared_ptr<edge::call_inbox> inbox;
    server_exchange connection;
    std::function<void()> notify;
    exchange_state last_state = exchange_state::not_sent;
    bool output = false;
    bool settled = false;
};

} // namespace roseworks::forward
