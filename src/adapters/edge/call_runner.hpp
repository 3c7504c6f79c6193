#pragma once

#include "adapters/edge/backend_attempt.hpp"
#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/call_inbox.hpp"
#include "adapters/edge/caller_connection.hpp"
#include "adapters/edge/edge_context.hpp"
#include "adapters/edge/prepared_call.hpp"
#include "adapters/edge/stream_response.hpp"
#include "adapters/edge/traffic_observer.hpp"

#include <memory>

namespace roseworks::edge
{

/** Runs one call from admission to its response.

    It waits for grants, claims the call's key, if any, before the first byte
    is sent, and runs attempts. Once a byte of the call may have reached a
    backend server, the verdict is never `not run` unless the server itself
    said so.

    If the caller leaves, a claimed call continues so that the claim can be
    closed with the answer. Other calls are stopped.
*/
class call_runner
{
public:
    call_runner(
        edge_context& shared,
        backend_pool& connections,
        caller_connection& connection,
        prepared_call prepared);
    ~call_runner();

    call_runner(const call_runner&) = delete;
    call_runner& operator=(const call_runner&) = delete;

    /// Runs the call. Call it once per object.
    /// @return Whether the connection may carry another request.
    asio::awaitable<bool> run();

    /// Ends the call with an explicit error because the drain limit is reached.
    void force_end()
    {
        this->inbox->force_end();
    }

private:
    asio::awaitable<void> serve();
    asio::awaitable<bool> attempt(grant where);
    asio::awaitable<bool> claim();
    asio::awaitable<void> answer_held(claim_result held);
    asio::awaitable<void> answer_refused(refusal why);
    asio::awaitable<void> answer_interrupted();
    asio::awaitable<void> answer_failed(dispatcher::finish how);
    asio::awaitable<void> send_buffered(buffered_response answer);
    asio::awaitable<void> send_refusal(call_problem problem);
    asio::awaitable<void> send(buffered_response answer);

    /// @return The verdict, but `may_have_run` instead of `not_run` once an
    ///         attempt may have run.
    verdict corrected_verdict(verdict reported) const;
    void record_failure(verdict outcome, refusal_reason reason);
    void
    close_claim(verdict outcome, unsigned status = 0, std::string body = {});
    response_context make_context() const;

    /// For handlers kept by the ports, which may outlive the event loop.
    std::weak_ptr<call_inbox> weak_inbox() const
    {
        return this->inbox;
    }

    void report();

    edge_context& context;
    backend_pool& pool;
    caller_connection& caller;
    prepared_call call;
    std::shared_ptr<call_inbox> inbox;
    stream_response stream;
    ticket request;
    bool claim_held = false;   ///< this call holds the claim, still open
    bool may_have_run = false; ///< a server may have run an attempt
    bool connection_usable = true;
    finished_request record;
};

} // namespace roseworks::edge
