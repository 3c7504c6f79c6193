#include "adapters/forward/forward_call.hpp"

#include "adapters/forward/response_head.hpp"
#include "core/serving/servable_key.hpp"
#include "ports/hex_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace roseworks::forward
{

namespace
{

using end_kind = attempt_result::end;

/// Status of a server that is not the one that the request names.
constexpr unsigned status_misdirected = 421;

/// Status of a server that has no room for a request.
constexpr unsigned status_unavailable = 503;

/// Requests of this rank go ahead of all others in the admission queue.
constexpr std::uint8_t urgent_rank = 0;

/// A request whose first attempt starts later than this after its arrival
/// counts as having waited.
constexpr duration wait_threshold{std::chrono::milliseconds(20)};

/// Detects that the caller closes its connection during the call. Does not
/// access the connection after the call has finished.
asio::awaitable<void> watch_for_disconnect(
    edge::caller_connection& caller, std::shared_ptr<edge::call_inbox> inbox)
{
    const auto [error] = co_await caller.stream.socket().async_wait(
        edge::tcp::socket::wait_read, edge::use_awaitable_tuple);
    if (error || inbox->finished())
        co_return;
    if (caller.peer_closed())
        inbox->caller_left();
}

ticket ticket_of(const dispatch_port::reply& reply)
{
    return std::visit(
        [](const auto& one)
        {
            return one.request;
        },
        reply);
}

event_id completion_event(bool without_retry)
{
    if (without_retry)
        return event_id::request_served;
    return event_id::request_ended;
}

std::int64_t to_milliseconds(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

} // namespace

forward_call::forward_call(
    forward_context& shared,
    edge::backend_pool& connections,
    edge::caller_connection& connection,
    forward_request incoming,
    const path_route& matched_route,
    caller_organisation key_holder,
    std::string selected_service,
    bool on_engine_service)
    : context(shared)
    , pool(connections)
    , caller(connection)
    , request(std::move(incoming))
    , content(this->request.content_fingerprint())
    , route(matched_route)
    , organisation(std::move(key_holder))
    , service(std::move(selected_service))
    , is_engine_service(on_engine_service)
    , inbox(std::make_shared<edge::call_inbox>(connections.executor))
    , events(shared.settings.max_event_bytes)
    , response(shared, connection, this->request)
{
    duration limit = this->route.timeout;
    if (this->request.deadline)
        limit = std::min<duration>(limit, *this->request.deadline);
    const duration margin =
        std::min<duration>(this->context.settings.response_margin, limit / 10);
    this->deadline = this->request.arrived + limit - margin;
}

forward_call::~forward_call()
{
    this->inbox->finish();
}

request_info forward_call::admission_info() const
{
    request_info info;
    info.is_service = !this->is_engine_service || this->request.model.empty();
    info.target = info.is_service
                      ? this->service
                      : servable_key(this->service, this->request.model);
    const bool is_owned = !this->organisation.name.empty();
    info.caller = is_owned ? this->organisation.name : "callers";
    info.rank = static_cast<std::uint8_t>(this->engine_priority());
    std::uint8_t rank = is_owned ? this->organisation.rank : this->route.rank;
    if (this->context.settings.order_by_route_rank)
        rank = info.rank;
    info.asked = rank == urgent_rank ? priority::urgent : priority::normal;
    info.deadline = this->deadline;
    info.deadline = std::min<instant>(
        info.deadline, this->request.arrived + this->route.max_queue_time());
    info.objective = this->request.arrived + this->route.objective;
    info.repeatable = this->route.repeatable();
    info.software = this->origin;
    info.held_bytes = to_view(this->request.body).size();
    return info;
}

software_version forward_call::needed_software() const
{
    return this->response.has_begun() ? this->first_software : this->origin;
}

asio::awaitable<bool> forward_call::run()
{
    asio::co_spawn(
        this->pool.executor,
        watch_for_disconnect(this->caller, this->inbox),
        asio::detached);
    bool may_send = co_await this->find_origin();
    this->context.ports.quotas.count_request(this->service);
    if (may_send)
        may_send = co_await this->reserve_quota();
    if (may_send)
    {
        std::weak_ptr<edge::call_inbox> weak_inbox = this->inbox;
        this->admission_ticket = this->context.ports.dispatch.submit(
            this->admission_info(),
            [weak_inbox](const dispatch_port::reply& reply)
            {
                if (const auto live_inbox = weak_inbox.lock())
                    live_inbox->post_reply(reply);
            });
        co_await this->run_attempts();
    }
    this->inbox->finish();
    this->return_unused();
    beast::error_code ignored;
    this->caller.stream.socket().cancel(ignored);
    this->report();
    co_return this->connection_usable && !this->response.ends_connection() &&
        !this->inbox->caller_has_left() && this->request.keep_alive &&
        !this->context.closes_connections();
}

asio::awaitable<void> forward_call::finish_interrupted()
{
    this->connection_usable = false;
    this->end = request_end::caller_left;
    if (!this->inbox->caller_has_left())
        co_await this->send_local_response(make_local_response(
            refusal_reason::draining,
            this->may_have_run ? verdict::may_have_run : verdict::not_run));
}

asio::awaitable<void> forward_call::run_attempts()
{
    while (true)
    {
        this->is_waiting = true;
        const auto reply = co_await this->inbox->next_reply();
        this->is_waiting = false;
        if (!reply)
        {
            this->context.ports.dispatch.abandon(this->admission_ticket);
            co_await this->finish_interrupted();
            co_return;
        }
        // Replies to an attempt that was closed may still arrive.
        if (ticket_of(*reply) != this->admission_ticket)
            continue;
        if (const auto* refused_reply = std::get_if<refusal>(&*reply))
        {
            // The dispatcher still has a request that was refused here.
            if (refused_reply->reason == refusal_reason::blocked ||
                refused_reply->reason == refusal_reason::draining)
                this->context.ports.dispatch.abandon(this->admission_ticket);
            co_await this->finish_without_response(
                {true,
                 refused_reply->outcome,
                 refused_reply->reason,
                 refused_reply->retry_after});
            co_return;
        }
        const bool final_answer =
            co_await this->attempt(std::get<grant>(*reply));
        if (final_answer)
            co_return;
    }
}

bool forward_call::is_key_revoked(const serving_table& table) const
{
    if (this->organisation.name.empty() || this->sends != 0)
        return false;
    const organisation_index& known = table.organisations();
    return known.is_required() && known.find(this->organisation.key) == nullptr;
}

asio::awaitable<bool> forward_call::attempt(grant granted)
{
    if (!this->context.sends_requests)
    {
        this->context.ports.dispatch.abandon(this->admission_ticket);
        co_await this->finish_without_response(
            {true, verdict::not_run, refusal_reason::draining, {}});
        co_return true;
    }
    const bool may_send = co_await this->reserve_retry();
    if (!may_send)
        co_return true;
    const serving_table_ptr table = this->context.ports.table();
    if (this->is_key_revoked(*table))
    {
        this->context.ports.dispatch.abandon(this->admission_ticket);
        co_await this->finish_without_response(
            {true, verdict::not_run, refusal_reason::unknown_key, {}});
        co_return true;
    }
    const bool passed = co_await this->pass_gate();
    if (!passed)
        co_return true;
    const server_identity* server = table->find_server(granted.address);
    attempt_result result;
    result.how = end_kind::not_sent;
    // The table may be newer than the grant.
    const software_version needed = this->needed_software();
    const bool is_listed = server != nullptr &&
                           server->service == this->service &&
                           (!needed || server->software == needed);
    if (is_listed)
    {
        const std::string instance = server->instance;
        const std::string servable = this->admission_info().target;
        if (granted.engine)
            this->context.ports.run_started(servable, instance);
        result = co_await this->exchange_with(granted, *server);
        if (granted.engine)
            this->context.ports.run_ended(servable, instance);
        const bool lacks_model = granted.engine &&
                                 result.how == end_kind::refused_not_run &&
                                 !this->is_last_paused;
        if (lacks_model)
            co_await this->wait_for_table_update(servable, this->last_server);
    }
    const bool ran = may_have_reached_a_run(result.how);
    this->may_have_run = this->may_have_run || ran;
    this->attempts += ran ? 1 : 0;
    const dispatcher::finish finish =
        this->context.ports.dispatch.finished(this->admission_ticket, result);
    if (result.how == end_kind::answered)
    {
        this->end = request_end::passed_on;
        co_return true;
    }
    if (result.how == end_kind::caller_left)
    {
        this->end = request_end::caller_left;
        this->connection_usable = false;
        // At the end of the process the caller is still there.
        if (this->inbox->interrupted() && !this->inbox->caller_has_left())
            co_await this->finish_interrupted();
        co_return true;
    }
    const bool allowed = (!this->may_have_run || this->route.repeatable()) &&
                         this->attempts < this->route.max_attempts;
    if (!finish.final_answer && allowed)
        co_return false;
    if (!finish.final_answer)
        this->context.ports.dispatch.abandon(this->admission_ticket);
    co_await this->finish_without_response(finish);
    co_return true;
}

asio::awaitable<void> forward_call::wait_for_table_update(
    const std::string& servable, const std::string& instance)
{
    this->context.ports.run_refused(servable, instance);
    asio::steady_timer pause(this->pool.executor);
    pause.expires_after(this->context.settings.refusal_pause);
    co_await pause.async_wait(edge::use_awaitable_tuple);
}

unsigned forward_call::engine_priority() const
{
    // Engines accept priorities 0 to 9. The organisation's rank takes
    // precedence over the route's.
    constexpr unsigned route_ranks = 3;
    constexpr unsigned last = 9;
    if (this->organisation.name.empty())
        return this->route.rank;
    const unsigned within =
        std::min<unsigned>(this->route.rank, route_ranks - 1);
    return std::min(this->organisation.rank * route_ranks + within, last);
}

outgoing_request
forward_call::outgoing(const server_identity& server, instant now) const
{
    attempt_headers set;
    const duration remaining = this->deadline - now;
    set.deadline = std::max(
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining),
        std::chrono::milliseconds(1));
    set.instance = server.instance;
    if (this->is_engine_service)
        set.priority = this->engine_priority();
    set.organisation = this->organisation.name;
    set.with_credentials = !this->organisation.keys_required;
    if (this->response.has_begun())
        set.last_event = this->events.last_id();
    return make_outgoing_request(this->request, this->context.names, set);
}

asio::awaitable<attempt_result>
forward_call::exchange_with(const grant& granted, const server_identity& server)
{
    const instant now = this->context.now();
    this->sent_at = now;
    this->answer_began.reset();
    if (this->sends == 0)
    {
        this->first_sent = now;
        this->waited = now - this->request.arrived > wait_threshold;
        this->context.metrics.queue_wait.record(now - this->request.arrived);
    }
    const outgoing_request outgoing = this->outgoing(server, now);
    this->last_server = server.instance;
    this->last_software = server.software;
    this->last_life = server.life;
    if (const auto hedge_after = this->hedge_delay())
        co_return co_await this->exchange_hedged(
            granted, server, outgoing, *hedge_after);
    server_exchange exchange(this->context, this->pool, *this->inbox);
    const duration longest_idle =
        this->route.repeatable()
            ? duration(this->context.options.connection_max_idle)
            : duration(this->context.options.non_repeatable_max_idle);
    const exchange_target target{
        {granted.engine, granted.address}, server.instance};
    exchange_state state =
        co_await exchange.send(target, outgoing, longest_idle, this->deadline);
    this->last_relay = exchange.relay();
    if (exchange.sent())
    {
        ++this->sends;
        this->retry_reserved = false;
    }
    if (state == exchange_state::ok)
        state = co_await exchange.read_head(
            this->context.names, this->request.id, this->request.head_only);
    co_return co_await this->finish_exchange(granted, server, exchange, state);
}

std::optional<attempt_result> forward_call::failure_of(
    const grant& granted,
    const server_identity& server,
    const server_exchange& exchange,
    exchange_state state)
{
    if (exchange.withheld())
    {
        this->context.metrics.requests_withheld.increment();
        attempt_result withheld;
        withheld.how = end_kind::withheld;
        return withheld;
    }
    if (state != exchange_state::ok)
    {
        if (state == exchange_state::not_sent)
            this->context.ports.connect_failed(server.instance);
        attempt_result failed = this->result_of(state);
        if (!exchange.sent() && failed.how != end_kind::caller_left)
            failed.how = end_kind::not_sent;
        if (exchange.sent())
            this->report_run(server, granted.address, failed);
        return failed;
    }
    this->last_framing = exchange.framing();
    this->report_notice(
        granted, server, exchange, this->report_load(granted, exchange));
    if (is_not_run_refusal(exchange.head(), this->context.names))
    {
        if (exchange.head().result_int() == status_misdirected)
            this->context.ports.crashes.server_replaced(server.life);
        else
            this->context.hedges.rejected(this->service, this->context.now());
        attempt_result refused;
        refused.how = end_kind::refused_not_run;
        refused.no_room = exchange.head().result_int() == status_unavailable;
        return refused;
    }
    return std::nullopt;
}

asio::awaitable<attempt_result> forward_call::finish_exchange(
    const grant& granted,
    const server_identity& server,
    server_exchange& exchange,
    exchange_state state)
{
    if (const auto failed = this->failure_of(granted, server, exchange, state))
    {
        this->record_latency(*failed);
        co_return *failed;
    }
    const attempt_result result = co_await this->forward_response(exchange);
    this->record_latency(result);
    this->report_run(server, granted.address, result);
    if (result.how == end_kind::answered)
        this->report_answer(server, granted.address, exchange);
    co_return result;
}

asio::awaitable<void>
forward_call::finish_without_response(dispatcher::finish final_state)
{
    const verdict outcome =
        this->may_have_run ? verdict::may_have_run : verdict::not_run;
    const refusal_reason final_reason =
        final_state.reason == refusal_reason::none
            ? refusal_reason::backend_failed
            : final_state.reason;
    co_await this->send_local_response(
        make_local_response(final_reason, outcome, final_state.retry_after));
}

asio::awaitable<void> forward_call::send_local_response(local_response local)
{
    this->reason = local.reason;
    if (this->response.has_begun())
    {
        // The missing last chunk tells the caller that the response is
        // truncated.
        this->end = request_end::broken_off;
        this->connection_usable = false;
        co_return;
    }
    this->end = local.outcome == verdict::not_run ? request_end::refused
                                                  : request_end::failed;
    this->local_status = local.status;
    const bool keep_open =
        this->request.keep_alive && !this->context.closes_connections();
    const std::string bytes = to_bytes(
        local,
        this->context.names,
        this->request.id,
        keep_open,
        this->request.head_only);
    const bool written = co_await this->caller.write_raw(bytes);
    this->connection_usable = this->connection_usable && written;
}

void forward_call::report()
{
    this->context.metrics.requests.increment(this->end);
    const instant now = this->context.now();
    if (this->first_byte_at != instant())
        this->context.metrics.first_byte.record(
            this->first_byte_at - this->request.arrived,
            this->waited ? admission::waited : admission::at_once);
    const bool served_without_retry =
        this->end == request_end::passed_on && this->sends == 1;
    const duration queue_time = this->first_sent == instant()
                                    ? now - this->request.arrived
                                    : this->first_sent - this->request.arrived;
    const duration first_byte_time =
        this->first_byte_at == instant()
            ? duration::zero()
            : this->first_byte_at - this->request.arrived;
    const std::optional<event_id> id(completion_event(served_without_retry));
    this->context.events.report(
        *id,
        {{"request_id", this->request.id},
         {"route", this->route.name},
         {"servable", this->request.model},
         {"organisation", this->organisation.name},
         {"end", to_string(this->end)},
         {"status",
          this->response.has_begun() ? this->response.status()
                                     : this->local_status},
         {"reason", to_string(this->reason)},
         {"server", this->last_server},
         {"software", to_hex(this->last_software.value)},
         {"first_software", to_hex(this->first_software.value)},
         {"last_event", this->request.caller_last_event},
         {"resumes", this->request.resumes},
         {"origin",
          this->takes_up_stream() ? to_string(this->origin_known_by) : ""},
         {"relay", this->last_relay},
         {"server_limit", this->last_rate_limit},
         {"server_pause", this->last_pause},
         {"server_leaving", this->last_leaving ? 1 : 0},
         {"framing", to_string(this->last_framing)},
         {"sends", this->sends},
         {"objective_ms", to_milliseconds(this->route.objective)},
         {"wait_ms", to_milliseconds(queue_time)},
         {"first_ms", to_milliseconds(first_byte_time)},
         {"total_ms", to_milliseconds(now - this->request.arrived)},
         {"events", this->events.event_count()},
         {"unfinished_bytes", this->events.unfinished_bytes()}});
}

} // namespace roseworks::forward
