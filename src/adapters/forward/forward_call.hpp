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

/** Takes one request from admission to the last byte of its answer.

    A request that isn't repeatable is sent once at most after a byte of it may
    have reached a server. A backend server's answer is passed on as it is, or
    visibly broken off; what comes from another request is dropped. A stream
    that may go on elsewhere is passed on in whole events and goes on after the
    last of them.
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

    /// Runs the call; once per object.
    /// @return Whether the connection may carry another request.
    asio::awaitable<bool> run();

    /// The process ends: the call has to, too.
    void force_end()
    {
        this->inbox->force_end();
    }

private:
    enum class relayed : std::uint8_t
    {
        whole,       ///< the caller has the whole answer
        cut,         ///< the server's side broke off
        late,        ///< the time limit passed
        caller_gone, ///< the caller doesn't take it
        interrupted
    };

    request_info admission_info() const;
    /// @return Whether the request may be sent; if not, it has its answer.
    asio::awaitable<bool> enter();
    asio::awaitable<void> serve();
    asio::awaitable<bool> attempt(grant where);
    bool may_attempt();
    /// @return Whether its caller's key was taken away while it waited.
    bool key_is_gone(const serving_table& table) const;
    /// An engine refused the request for want of its model.
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
    /// Tells what the answer says of the server's rate limit.
    void tell_limit(const server_exchange& exchange);
    attempt_result result_of(relayed how) const;
    attempt_result result_of(exchange_state state) const;
    asio::awaitable<void> answer_own(own_answer answer);
    /// The caller left, or the process ends.
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
    std::uint32_t attempts = 0;    ///< that may have run
    std::uint32_t sends = 0;       ///< that reached a server, refused ones too
    std::string last_server;       ///< id of the last attempt's
    std::string named_limit;       ///< by the last answer; empty: none
    bool tokens_set_aside = false; ///< of its organisation's limit
    bool may_have_run = false;
    bool head_written = false;
    bool chunked = false; ///< the answer's framing towards the caller
    unsigned status = 0;  ///< of the answer passed on; 0: none
    bool connection_usable = true;
    request_end end = request_end::failed;
    refusal_reason reason = refusal_reason::none;
    instant sent_at;
    instant first_sent;
    instant first_byte_at;
    bool waited = false;
};

} // namespace roseworks::forward
