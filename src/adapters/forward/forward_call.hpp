#pragma once

#include "adapters/edge/call_inbox.hpp"
#include "adapters/edge/caller_connection.hpp"
#include "adapters/forward/caller_organisation.hpp"
#include "adapters/forward/event_cutter.hpp"
#include "adapters/forward/forward_context.hpp"
#include "adapters/forward/forward_request.hpp"
#include "adapters/forward/own_answer.hpp"
#include "adapters/forward/server_exchange.hpp"
#include "core/serving/deployment.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::forward
{

/** Handles one request from admission to the last byte of its response.

    A request that is not repeatable is not sent again once a server may have
    run it. A backend server's response is forwarded as received, or truncated
    so that the caller can detect it. A response to another request is dropped.
    A resumable stream is forwarded in complete events. If its server fails, the
    stream continues on another server after the last complete event.
*/
class forward_call
{
public:
    forward_call(
        forward_context& shared,
        edge::backend_pool& connections,
        edge::caller_connection& connection,
        forward_request asked,
        const path_route& matched,
        caller_organisation holder,
        std::string chosen_service,
        bool on_engines);
    ~forward_call();

    forward_call(const forward_call&) = delete;
    forward_call& operator=(const forward_call&) = delete;

    /// Runs the call. May be called only once.
    /// @return Whether the connection can carry another request.
    asio::awaitable<bool> run();

    /// Interrupts the call because the process shuts down.
    void force_end()
    {
        this->inbox->force_end();
    }

private:
    enum class relayed : std::uint8_t
    {
        whole,       ///< the whole response was sent to the caller
        cut,         ///< the server's response ended early
        late,        ///< the deadline passed
        caller_gone, ///< sending to the caller failed
        interrupted  ///< the caller left, or the process shuts down
    };

    request_info admission_info() const;
    /// Reserves quota if the organisation has a limit.
    /// @return Whether the request may be sent. If not, the call is finished.
    asio::awaitable<bool> enter();
    asio::awaitable<void> serve();
    asio::awaitable<bool> attempt(grant where);
    bool may_attempt();
    /// @return Whether the caller's API key was revoked while the request
    ///         waited for its first attempt.
    bool key_is_gone(const serving_table& table) const;
    /// Reports that an engine refused the request because the model was not
    /// loaded, and waits shortly for the serving table to be updated.
    asio::awaitable<void>
    wait_for_table(const std::string& servable, const std::string& instance);
    unsigned engine_rank() const;
    std::string bytes_for(const server_identity& server, instant now) const;
    asio::awaitable<attempt_result>
    exchange_with(const grant& where, const server_identity& server);
    asio::awaitable<attempt_result> pass_on(server_exchange& exchange);
    asio::awaitable<relayed> relay(server_exchange& exchange);
    asio::awaitable<relayed> relay_collected(server_exchange& exchange);
    asio::awaitable<relayed> relay_stream(server_exchange& exchange);
    asio::awaitable<bool> write_head(const server_exchange& exchange);
    asio::awaitable<bool> write_chunk(std::string_view bytes);
    bool joins(const server_exchange& exchange) const;
    void tell_load(const grant& where, const server_exchange& exchange);
    /// Reports the rate limit that the server named in its response.
    void tell_limit(const server_exchange& exchange);
    attempt_result result_of(relayed how) const;
    attempt_result result_of(exchange_state state) const;
    asio::awaitable<void> answer_own(own_answer answer);
    /// Finishes the call after the caller left or the process shut down.
    asio::awaitable<void> end_interrupted();
    asio::awaitable<void> end_without_answer(dispatcher::finish how);
    void report();

    forward_context& context;
    edge::backend_pool& pool;
    edge::caller_connection& caller;
    forward_request request;
    path_route route;
    caller_organisation organisation;
    std::string service;
    bool engines;
    instant deadline; ///< of the whole call
    std::shared_ptr<edge::call_inbox> inbox;
    ticket place;
    event_cutter events;
    std::uint32_t attempts = 0; ///< that may have run the request
    std::uint32_t sends =
        0; ///< attempts that sent data, including refused ones
    std::string last_server;       ///< instance ID, of the last attempt
    std::string named_limit;       ///< in the last response; empty: none
    bool tokens_set_aside = false; ///< from the organisation's limit
    bool may_have_run = false;
    bool head_written = false;
    bool chunked = false; ///< the response to the caller is chunked
    unsigned status = 0;  ///< sent to the caller; 0: none
    bool connection_usable = true;
    request_end end = request_end::failed;
    refusal_reason reason = refusal_reason::none;
    instant sent_at;
    instant first_sent;
    instant first_byte_at;
    bool waited = false;
};

} // namespace roseworks::forward
