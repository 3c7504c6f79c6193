#pragma once

#include "adapters/edge/call_inbox.hpp"
#include "adapters/edge/caller_connection.hpp"
#include "adapters/forward/attempt_run.hpp"
#include "adapters/forward/caller_organisation.hpp"
#include "adapters/forward/caller_response.hpp"
#include "adapters/forward/forward_context.hpp"
#include "adapters/forward/forward_request.hpp"
#include "adapters/forward/local_response.hpp"
#include "adapters/forward/server_exchange.hpp"
#include "adapters/forward/sse_event_splitter.hpp"
#include "core/hedging/attempt_race.hpp"
#include "core/hedging/hedge_policy.hpp"
#include "core/origins/stream_key.hpp"
#include "core/origins/stream_origin.hpp"
#include "core/pacing/server_notice.hpp"
#include "core/serving/deployment.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::forward
{

/// @return Whether a server may have run the request in an attempt that ended
///         in this way.
constexpr bool may_have_reached_a_run(attempt_result::end how)
{
    return how != attempt_result::end::not_sent &&
           how != attempt_result::end::withheld &&
           how != attempt_result::end::refused_not_run;
}

/// @param content Hash of the request.
/// @return Time for which the request, or a part of its prompt, is blocked;
///         zero: it isn't.
duration blocked_for(
    const request_gate& gate,
    const blocked_requests& known,
    const forward_request& request,
    fingerprint content,
    instant now);

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
        forward_request incoming,
        const path_route& matched_route,
        caller_organisation key_holder,
        std::string selected_service,
        bool on_engine_service);
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

    /// Refuses the call if it waits for a server and its request is blocked.
    void refuse_if_blocked();

    /// Refuses the call if it waits for a server.
    void refuse_if_waiting(refusal_reason why, duration retry_after);

private:
    enum class relay_outcome : std::uint8_t
    {
        complete,        ///< the whole response was sent to the caller
        truncated,       ///< the server's response ended early
        deadline_passed, ///< the deadline passed
        write_failed,    ///< sending to the caller failed
        interrupted      ///< the caller left, or the process shuts down
    };

    request_info admission_info() const;
    /// @return The software that a server needs to run the next attempt; 0:
    ///         any.
    software_version needed_software() const;
    stream_key key_of_attempt(std::string_view attempt) const;
    /// @return Whether the caller takes up a stream that it has got a part of.
    bool takes_up_stream() const;
    /// Finds the software that began the stream which the caller takes up.
    /// @return Whether the request may be sent. If not, the call is finished.
    asio::awaitable<bool> find_origin();
    /// Lets the request run only on servers of a software.
    /// @return Whether such a server of this route takes requests.
    bool use_origin(software_version software);
    asio::awaitable<void> refuse_stream(duration retry_after);
    /// Records which software wrote the first event, once there is one.
    void record_origin();
    /// Reserves quota if the organisation has a limit.
    /// @return Whether the request may be sent. If not, the call is finished.
    asio::awaitable<bool> reserve_quota();
    asio::awaitable<void> run_attempts();
    /// Sends the request to the granted server once.
    /// @return Whether the call is finished.
    asio::awaitable<bool> attempt(grant granted);
    /// Reserves a retry of the service if an earlier attempt sent data.
    /// @return Whether the request may be sent. If not, the call is finished.
    asio::awaitable<bool> reserve_retry();
    /// Returns what was reserved for a request that wasn't sent.
    void return_unused();
    /// @return Whether the caller's API key was revoked while the request
    ///         waited for its first attempt.
    bool is_key_revoked(const serving_table& table) const;
    /// Reports that an engine refused the request because the model was not
    /// loaded, and waits briefly for the serving table to be updated.
    asio::awaitable<void> wait_for_table_update(
        const std::string& servable, const std::string& instance);
    /// @return The priority that is sent to engines, from 0 to 9.
    unsigned engine_priority() const;
    outgoing_request outgoing(const server_identity& server, instant now) const;
    asio::awaitable<attempt_result>
    exchange_with(const grant& granted, const server_identity& server);
    /// Handles a response that has arrived, or the lack of one.
    asio::awaitable<attempt_result> finish_exchange(
        const grant& granted,
        const server_identity& server,
        server_exchange& exchange,
        exchange_state state);
    /// Reports an exchange without a response to forward.
    /// @return Empty if there is one.
    std::optional<attempt_result> failure_of(
        const grant& granted,
        const server_identity& server,
        const server_exchange& exchange,
        exchange_state state);
    // forward_call_hedge.cpp
    hedge_request hedge_properties() const;
    /// @return When a second attempt is due; empty: none.
    std::optional<duration> hedge_delay();
    /// Adds the time of the first attempt to the known latencies. Later calls
    /// have no effect.
    void record_latency(const attempt_result& result);
    /// Sends the request to the granted server and, after the delay, to another
    /// one, too. Forwards the response of one of them.
    asio::awaitable<attempt_result> exchange_hedged(
        const grant& granted,
        const server_identity& server,
        outgoing_request outgoing,
        duration delay);
    struct hedge_race;
    std::shared_ptr<attempt_run> make_run(
        const grant& granted,
        const server_identity& server,
        outgoing_request outgoing);
    /// Starts the second attempt if all limits allow it.
    asio::awaitable<void> start_hedge(hedge_race& race);
    /// Reserves a unit of an account for a hedge.
    /// @return Whether it is reserved.
    asio::awaitable<bool>
    reserve_for_hedge(hedge_race& race, std::string account, hedge_limit limit);
    /// Sends the request to the server that the dispatcher chooses.
    void send_hedge(hedge_race& race);
    void refuse_hedge(hedge_limit limit);
    /// Waits until one attempt is left, and closes the other one.
    asio::awaitable<std::shared_ptr<attempt_run>> decide_race(hedge_race& race);
    /// Passes what has happened to the attempts on to `hedge_race::order`.
    void update_race(hedge_race& race);
    /// Counts an attempt that was sent.
    void count_run(const hedge_race& race, const attempt_run& run);
    /// Sets what the reports say about the attempt.
    void use_run(attempt_run& run);
    /// Ends an attempt that failed while the other one still runs.
    void end_failed(hedge_race& race, race_side side);
    /// Closes an attempt that lost, or whose time is over.
    void end_closed(hedge_race& race, race_side side);
    asio::awaitable<attempt_result> forward_response(server_exchange& exchange);
    asio::awaitable<relay_outcome> relay(server_exchange& exchange);
    asio::awaitable<relay_outcome> relay_buffered(server_exchange& exchange);
    asio::awaitable<relay_outcome> relay_stream(server_exchange& exchange);
    /// @param earlier_events Number of events before this attempt.
    /// @return Whether the server's response, which has been read to its end,
    ///         is a complete stream as far as its bytes can show it.
    bool stream_has_ended(
        const server_exchange& exchange, std::uint32_t earlier_events) const;
    /// @return The outcome of a relay that a failed read has ended.
    static relay_outcome outcome_of(exchange_state state);
    bool continues_stream(const server_exchange& exchange) const;
    /// @return The load that the server stated; empty: none.
    std::optional<server_load_notice>
    report_load(const grant& granted, const server_exchange& exchange);
    /// Reports what the server's response says about its limits and its load.
    void report_notice(
        const grant& granted,
        const server_identity& server,
        const server_exchange& exchange,
        std::optional<server_load_notice> load);
    /// @return Whether another server can continue the caller's stream.
    bool can_resume() const;
    attempt_result result_of(relay_outcome outcome) const;
    attempt_result result_of(exchange_state state) const;
    asio::awaitable<void> send_local_response(local_response local);
    /// Finishes the call after the caller left or the process shut down.
    asio::awaitable<void> finish_interrupted();
    asio::awaitable<void>
    finish_without_response(dispatcher::finish final_state);
    void report();
    /// @return Whether the request may be sent now. If not, the call is
    ///         finished.
    asio::awaitable<bool> pass_gate();
    asio::awaitable<void> refuse_blocked(duration retry_after);
    /// @return Time for which the request, or a part of its prompt, is blocked;
    ///         zero: it isn't.
    duration blocked_for() const;
    void admit_subject(const blocked_requests& known, fingerprint subject);
    /// @return What the run that ends now worked on.
    run_content content_of_run() const;
    /// Reports how a run of the request on a server ended.
    void report_run(
        const server_identity& server,
        const std::string& address,
        const attempt_result& result);
    /// Reports that an answer on the suspected parts of its prompt ended well.
    void report_good_parts(const blocked_requests& known);
    /// Reports that the request has run well, if a server has ended under it.
    void report_answer(
        const server_identity& server,
        const std::string& address,
        const server_exchange& exchange);

    forward_context& context;
    edge::backend_pool& pool;
    edge::caller_connection& caller;
    forward_request request;
    fingerprint content; ///< of the request
    path_route route;
    caller_organisation organisation;
    std::string service;
    bool is_engine_service;
    instant deadline; ///< of the whole call
    std::shared_ptr<edge::call_inbox> inbox;
    ticket admission_ticket;
    sse_event_splitter events;
    std::uint32_t attempts = 0;     ///< that may have run the request
    std::uint32_t sends = 0;        ///< that sent data, including refused ones
    std::string last_server;        ///< instance ID; of the last attempt
    software_version last_software; ///< of `last_server`
    server_life last_life;          ///< of `last_server`
    /// As `load_report::host_time_percent`; in the last response of an engine.
    std::uint32_t host_time_percent = 0;
    stream_timer event_timer{0, instant()}; ///< of the last attempt's stream
    /// That began the stream which the caller takes up; 0: it takes none up.
    software_version origin;
    /// How `origin` is known.
    origin_source origin_known_by = origin_source::unknown;
    /// Of the server that wrote the first event for the caller.
    software_version first_software;
    std::string last_relay; ///< router that relayed the last attempt; or empty
    std::string last_rate_limit; ///< in the last response; empty: none
    std::string last_pause;      ///< the same
    bool last_leaving = false;   ///< the last response said so of its server
    bool is_last_paused = false; ///< the last response asked for a pause
    body_framing last_framing = body_framing::none; ///< of the last response
    bool quota_reserved = false; ///< from the organisation's limit
    bool retry_reserved = false; ///< from the service's limit, and not sent yet
    bool latency_recorded = false; ///< of the first attempt, or there is none
    bool may_have_run = false;
    bool is_waiting = false;   ///< for a server
    caller_response response;  ///< of a backend server
    unsigned local_status = 0; ///< of a response without one; 0: none
    bool connection_usable = true;
    request_end end = request_end::failed;
    refusal_reason reason = refusal_reason::none;
    instant sent_at;
    /// When the server of this attempt began to write its answer.
    std::optional<instant> answer_began;
    instant first_sent;
    instant first_byte_at;
    bool waited = false;
};

} // namespace roseworks::forward
