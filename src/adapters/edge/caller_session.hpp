#pragma once

#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/call_runner.hpp"
#include "adapters/edge/caller_connection.hpp"
#include "adapters/edge/edge_context.hpp"
#include "adapters/edge/prepared_call.hpp"

#include <variant>

namespace roseworks::edge
{

/// One caller's connection, request after request.
class caller_session
{
public:
    caller_session(
        edge_context& shared, backend_pool& connections, tcp::socket socket);

    /// Serves until the connection ends.
    asio::awaitable<void> run();

    /// Answers that too many connections are open, and closes.
    asio::awaitable<void> turn_away();

    /// The router drains: closes the connection when it is idle; otherwise
    /// the running request's answer closes it.
    void start_drain();

    /// The drain limit is reached.
    void force_end();

private:
    using checked_head = std::variant<prepared_call, call_problem>;

    asio::awaitable<bool> secure();
    asio::awaitable<bool> serve_one();
    asio::awaitable<bool> serve(prepared_call call);
    asio::awaitable<bool> serve_call(prepared_call call);
    asio::awaitable<bool> serve_inline(const prepared_call& call);
    asio::awaitable<void>
    refuse(call_problem problem, const prepared_call* call, answer_frame frame);

    checked_head check(const caller_parser& parser);
    whole_answer answer_inline(const prepared_call& call);
    std::string models_text() const;
    answer_frame frame_of(const prepared_call& call) const;

    edge_context& context;
    backend_pool& pool;
    caller_connection connection;
    call_runner* running = nullptr;
};

} // namespace roseworks::edge
