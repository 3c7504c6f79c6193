#pragma once

#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/call_runner.hpp"
#include "adapters/edge/caller_connection.hpp"
#include "adapters/edge/edge_context.hpp"
#include "adapters/edge/prepared_call.hpp"

#include <variant>

namespace roseworks::edge
{

/// Serves the requests of one caller connection in order.
class caller_session
{
public:
    caller_session(
        edge_context& shared,
        backend_pool& connections,
        receive_budget& memory,
        tcp::socket socket);

    /// Serves requests until the connection ends.
    asio::awaitable<void> run();

    /// Responds that too many connections are open, then closes.
    asio::awaitable<void> reject_over_limit();

    /// Starts draining: closes the connection if it is idle. Otherwise it is
    /// closed after the response to the running request.
    void start_drain();

    /// Ends the running call with an explicit error, or closes the connection
    /// if there is none.
    void force_end();

private:
    using checked_head = std::variant<prepared_call, call_problem>;

    asio::awaitable<bool> secure();
    asio::awaitable<bool> serve_one();
    asio::awaitable<bool> serve(prepared_call call);
    asio::awaitable<bool> serve_call(prepared_call call);
    asio::awaitable<bool> serve_inline(const prepared_call& call);
    asio::awaitable<void> refuse(
        call_problem problem,
        const prepared_call* call,
        response_context answer_context);

    checked_head check(const caller_parser& parser);
    buffered_response answer_inline(const prepared_call& call);
    std::string models_json() const;
    response_context context_of(const prepared_call& call) const;

    edge_context& context;
    backend_pool& pool;
    caller_connection connection;
    call_runner* running = nullptr;
};

} // namespace roseworks::edge
