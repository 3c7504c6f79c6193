#pragma once

#include "adapters/edge/backend_leg.hpp"
#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/call_inbox.hpp"
#include "adapters/edge/caller_connection.hpp"
#include "adapters/edge/edge_context.hpp"
#include "adapters/edge/prepared_call.hpp"
#include "adapters/edge/stream_answer.hpp"
#include "adapters/edge/traffic_observer.hpp"

#include <memory>

namespace roseworks::edge
{

/** Takes one call from admission to its answer.

    Waits for grants, claims the call's key where it has one before a byte is
    sent, runs attempts, and tells the outcome truthfully: once a byte of the
    call may have reached a backend server, `not run` is never said unless the
    server itself said so.

    A claimed call goes on when its caller leaves, so that the claim can be
    closed with its answer; other calls are stopped.
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

    /// Runs the call; once per object.
    /// @return Whether the connection may carry another request.
    asio::awaitable<bool> run();

    /// The drain limit is reached: ends the call with an explicit error.
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
    asio::awaitable<void> answer_whole(whole_answer answer);
    asio::awaitable<void> send_refusal(call_problem problem);
    asio::awaitable<void> send(whole_answer answer);

    /// @return The verdict, never `not_run` once something may have run.
    verdict truthful(verdict told) const;
    void note_failure(verdict outcome, refusal_reason reason);
    void
    close_claim(verdict outcome, unsigned status = 0, std::string body = {});
    answer_frame frame() const;

    /// For what the ports keep: it may outlive the event loop.
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
    stream_answer stream;
    ticket request;
    bool claim_held = false;   ///< the claim is ours and open
    bool may_have_run = false; ///< an attempt reached a backend server
    bool connection_usable = true;
    finished_request record;
};

} // namespace roseworks::edge
