#include "adapters/forward/forward_call.hpp"

#include "adapters/forward/quota_gate.hpp"
#include "adapters/forward/rate_limit_header.hpp"
#include "adapters/forward/relay_head.hpp"
#include "core/serving/servable_key.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <variant>

namespace roseworks::forward
{

namespace
{

using end_kind = attempt_result::end;

/// A route's rank that goes before all else while requests wait.
constexpr std::uint8_t urgent_rank = 0;

/// Sent and not answered for longer, a request counts as having waited.
constexpr duration at_once{std::chrono::milliseconds(20)};

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Notices that the caller closes its connection while its call runs. Touches
/// the connection only while the call isn't finished.
asio::awaitable<void>
watch(edge::caller_connection& caller, std::shared_ptr<edge::call_inbox> inbox)
{
    const auto [error] = co_await caller.stream.socket().async_wait(
        edge::tcp::socket::wait_read, edge::use_awaitable_tuple);
    if (error || inbox->finished())
        co_return;
    if (caller.peer_closed())
        inbox->caller_left();
}

std::optional<std::array<std::uint32_t, 2>> parse_load(std::string_view text)
{
    std::array<std::uint32_t, 2> numbers{};
    for (std::uint32_t& number : numbers)
    {
        const char* const end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, number);
        if (error != std::errc() || stop == end || *stop != ',')
            return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(stop - text.data()) + 1);
    }
    return numbers;
}

event_id event_of(bool served_at_once)
{
    if (served_at_once)
        return event_id::request_served;
    return event_id::request_ended;
}

std::int64_t whole_ms(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

} // namespace

forward_call::forward_call(
    forward_context& shared,
    edge::backend_pool& connections,
    edge::caller_connection& connection,
    forward_request asked,
    const path_route& matched,
    caller_organisation holder,
    std::string chosen_service,
    bool on_engines)
    : context(shared)
    , pool(connections)
    , caller(connection)
    , request(std::move(asked))
    , route(matched)
    , organisation(std::move(holder))
    , service(std::move(chosen_service))
    , engines(on_engines)
    , inbox(std::make_shared<edge::call_inbox>(connections.executor))
    , events(shared.settings.max_event_bytes)
{
    duration limit = this->route.timeout;
    if (this->request.deadline)
        limit = std::min<duration>(limit, *this->request.deadline);
    const duration margin =
        std::min<duration>(this->context.settings.answer_margin, limit / 10);
    this->deadline = this->request.arrived + limit - margin;
}

forward_call::~forward_call()
{
    this->inbox->finish();
}

request_info forward_call::admission_info() const
{
    request_info info;
    info.is_service = !this->engines || this->request.model.empty();
    info.target = info.is_service
                      ? this->service
                      : servable_key(this->service, this->request.model);
    const bool is_owned = !this->organisation.name.empty();
    info.caller = is_owned ? this->organisation.name : "callers";
    const std::uint8_t rank =
        is_owned ? this->organisation.rank : this->route.rank;
    info.asked = rank == urgent_rank ? priority::urgent : priority::normal;
    info.deadline = this->deadline;
    info.deadline = std::min<instant>(
        info.deadline, this->request.arrived + this->route.max_queue_time());
    info.objective = this->request.arrived + this->route.objective;
    info.repeatable = this->route.repeatable();
    info.held_bytes = this->request.body.size();
    return info;
}

asio::awaitable<bool> forward_call::run()
{
    this->context.retries_of(this->service)
        .record_request(this->request.arrived);
    asio::co_spawn(
        this->pool.executor, watch(this->caller, this->inbox), asio::detached);
    const bool entered = co_await this->enter();
    if (entered)
    {
        std::weak_ptr<edge::call_inbox> messages = this->inbox;
        this->place = this->context.ports.dispatch.submit(
            this->admission_info(),
            [messages](const dispatch_port::reply& answer)
            {
                if (const auto open = messages.lock())
                    open->post_reply(answer);
            });
        co_await this->serve();
    }
    this->inbox->finish();
    if (this->tokens_set_aside && !this->may_have_run)
        this->context.ports.limits.give_back(
            this->organisation.name, this->organisation.cost);
    beast::error_code ignored;
    this->caller.stream.socket().cancel(ignored);
    this->report();
    co_return this->connection_usable && !this->inbox->caller_has_left() &&
        this->request.keep_alive && !this->context.draining;
}

asio::awaitable<bool> forward_call::enter()
{
    if (!this->organisation.is_limited)
        co_return true;
    quota_request asked;
    asked.organisation = this->organisation.name;
    asked.amount = this->organisation.cost;
    asked.longest_wait =
        this->route.objective / this->context.settings.wait_for_limit;
    quota_gate gate(this->context.ports.limits, this->pool.executor);
    const auto decision = co_await gate.pass(std::move(asked), *this->inbox);
    if (!decision)
    {
        co_await this->end_interrupted();
        co_return false;
    }
    this->tokens_set_aside = decision->is_allowed;
    if (!decision->is_allowed)
        co_await this->end_without_answer(
            {true,
             verdict::not_run,
             refusal_reason::organisation_limit,
             decision->retry_after});
    co_return decision->is_allowed;
}

asio::awaitable<void> forward_call::end_interrupted()
{
    this->connection_usable = false;
    this->end = request_end::caller_left;
    if (!this->inbox->caller_has_left())
        co_await this->answer_own(make_own_answer(
            refusal_reason::draining,
            this->may_have_run ? verdict::may_have_run : verdict::not_run));
}

asio::awaitable<void> forward_call::serve()
{
    while (true)
    {
        const auto reply = co_await this->inbox->next_reply();
        if (!reply)
        {
            this->context.ports.dispatch.abandon(this->place);
            co_await this->end_interrupted();
            co_return;
        }
        if (const auto* no = std::get_if<refusal>(&*reply))
        {
            co_await this->end_without_answer(
                {true, no->outcome, no->reason, no->retry_after});
            co_return;
        }
        const bool final_answer =
            co_await this->attempt(std::get<grant>(*reply));
        if (final_answer)
            co_return;
    }
}

bool forward_call::may_attempt()
{
    if (this->sends == 0)
        return true;
    const bool allowed =
        this->context.retries_of(this->service)
            .withdraw(this->context.ports.routers(), this->context.now());
    if (allowed)
        this->context.metrics.retries.increment();
    else
        this->context.metrics.retries_denied.increment();
    return allowed;
}

bool forward_call::key_is_gone(const serving_table& table) const
{
    if (this->organisation.name.empty() || this->sends != 0)
        return false;
    const organisation_index& known = table.organisations();
    return known.is_required() && known.find(this->organisation.key) == nullptr;
}

asio::awaitable<bool> forward_call::attempt(grant where)
{
    const serving_table_ptr table = this->context.ports.table();
    if (this->key_is_gone(*table))
    {
        this->context.ports.dispatch.abandon(this->place);
        co_await this->end_without_answer(
            {true, verdict::not_run, refusal_reason::unknown_key, {}});
        co_return true;
    }
    const server_identity* server = table->find_server(where.address);
    attempt_result result;
    result.how = end_kind::not_sent;
    const bool there = server != nullptr && server->service == this->service;
    if (there && !this->may_attempt())
    {
        this->context.ports.dispatch.abandon(this->place);
        co_await this->end_without_answer(
            {true,
             this->may_have_run ? verdict::may_have_run : verdict::not_run,
             refusal_reason::retries_exhausted,
             std::chrono::milliseconds(200)});
        co_return true;
    }
    if (there)
    {
        const std::string instance = server->instance;
        const std::string servable = this->admission_info().target;
        if (where.engine)
            this->context.ports.run_started(servable, instance);
        result = co_await this->exchange_with(where, *server);
        if (where.engine)
            this->context.ports.run_ended(servable, instance);
        if (where.engine && result.how == end_kind::refused_not_run)
            co_await this->wait_for_table(servable, instance);
    }
    const bool ran = result.how != end_kind::not_sent &&
                     result.how != end_kind::refused_not_run;
    this->may_have_run = this->may_have_run || ran;
    this->attempts += ran ? 1 : 0;
    const dispatcher::finish finish =
        this->context.ports.dispatch.finished(this->place, result);
    if (result.how == end_kind::answered)
    {
        this->end = request_end::passed_on;
        co_return true;
    }
    if (result.how == end_kind::caller_left)
    {
        this->end = request_end::caller_left;
        this->connection_usable = false;
        co_return true;
    }
    const bool allowed = (!this->may_have_run || this->route.repeatable()) &&
                         this->attempts < this->route.max_attempts;
    if (!finish.final_answer && allowed)
        co_return false;
    if (!finish.final_answer)
        this->context.ports.dispatch.abandon(this->place);
    co_await this->end_without_answer(finish);
    co_return true;
}

asio::awaitable<void> forward_call::wait_for_table(
    const std::string& servable, const std::string& instance)
{
    this->context.ports.run_refused(servable, instance);
    asio::steady_timer pause(this->pool.executor);
    pause.expires_after(this->context.settings.refused_pause);
    co_await pause.async_wait(edge::use_awaitable_tuple);
}

unsigned forward_call::engine_rank() const
{
    /// Engines know ten ranks: an organisation's goes before a route's.
    constexpr unsigned route_ranks = 3;
    constexpr unsigned last = 9;
    if (this->organisation.name.empty())
        return this->route.rank;
    const unsigned within =
        std::min<unsigned>(this->route.rank, route_ranks - 1);
    return std::min(this->organisation.rank * route_ranks + within, last);
}

std::string
forward_call::bytes_for(const server_identity& server, instant now) const
{
    attempt_headers set;
    const duration left = this->deadline - now;
    set.deadline = std::max(
        std::chrono::duration_cast<std::chrono::milliseconds>(left),
        std::chrono::milliseconds(1));
    set.instance = server.instance;
    if (this->engines)
        set.priority = this->engine_rank();
    set.organisation = this->organisation.name;
    set.with_credentials = !this->organisation.keys_required;
    if (this->head_written)
        set.last_event = this->events.last_id();
    return make_backend_bytes(this->request, this->context.names, set);
}

asio::awaitable<attempt_result>
forward_call::exchange_with(const grant& where, const server_identity& server)
{
    const instant now = this->context.now();
    this->sent_at = now;
    if (this->sends == 0)
    {
        this->first_sent = now;
        this->waited = now - this->request.arrived > at_once;
        this->context.metrics.queue_wait.record(now - this->request.arrived);
    }
    const std::string bytes = this->bytes_for(server, now);
    this->last_server = server.instance;
    server_exchange exchange(this->context, this->pool, *this->inbox);
    const duration longest_idle =
        this->route.repeatable()
            ? duration(this->context.options.connection_max_idle)
            : duration(this->context.options.non_repeatable_max_idle);
    exchange_state state = co_await exchange.send(
        where.address, bytes, longest_idle, this->deadline);
    this->sends += exchange.sent() ? 1 : 0;
    if (state == exchange_state::good)
        state = co_await exchange.read_head(
            this->context.names, this->request.id, this->request.head_only);
    if (state != exchange_state::good)
    {
        if (state == exchange_state::not_sent)
            this->context.ports.unreached(server.instance);
        attempt_result failed = this->result_of(state);
        if (!exchange.sent() && failed.how != end_kind::caller_left)
            failed.how = end_kind::not_sent;
        if (failed.how == end_kind::broken)
            this->context.ports.broken(
                server.instance, this->request.content());
        co_return failed;
    }
    this->tell_load(where, exchange);
    this->tell_limit(exchange);
    if (says_not_run(exchange.head(), this->context.names))
    {
        attempt_result refused;
        refused.how = end_kind::refused_not_run;
        co_return refused;
    }
    const attempt_result result = co_await this->pass_on(exchange);
    if (result.how == end_kind::broken)
        this->context.ports.broken(server.instance, this->request.content());
    co_return result;
}

void forward_call::tell_load(
    const grant& where, const server_exchange& exchange)
{
    const auto text = exchange.head()[this->context.names.load];
    if (text.empty() || !where.engine)
        return;
    if (const auto numbers = parse_load(view(text)))
        this->context.ports.load_told(
            {where.engine, (*numbers)[0], (*numbers)[1]});
}

void forward_call::tell_limit(const server_exchange& exchange)
{
    constexpr std::size_t most_logged = 32;
    const named_rate_limit named =
        read_rate_limit(exchange.head(), this->context.names);
    this->named_limit = named.text.substr(0, most_logged);
    if (named.is_malformed)
        this->context.events.report(
            event_id::server_limit_malformed,
            {{"server", this->last_server}, {"value", this->named_limit}});
    this->context.ports.answered(
        this->last_server, named.per_second, this->sent_at);
}

asio::awaitable<void> forward_call::end_without_answer(dispatcher::finish how)
{
    const verdict outcome =
        this->may_have_run ? verdict::may_have_run : verdict::not_run;
    const refusal_reason why = how.reason == refusal_reason::none
                                   ? refusal_reason::backend_failed
                                   : how.reason;
    co_await this->answer_own(make_own_answer(why, outcome, how.retry_after));
}

asio::awaitable<void> forward_call::answer_own(own_answer answer)
{
    this->reason = answer.reason;
    if (this->head_written)
    {
        // The caller sees that the rest is missing: the last chunk is.
        this->end = request_end::broken_off;
        this->connection_usable = false;
        co_return;
    }
    this->end = answer.outcome == verdict::not_run ? request_end::refused
                                                   : request_end::failed;
    this->status = answer.status;
    const bool keep = this->request.keep_alive && !this->context.draining;
    const std::string bytes = to_bytes(
        answer,
        this->context.names,
        this->request.id,
        keep,
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
    const bool good = this->end == request_end::passed_on && this->sends == 1;
    const duration wait = this->first_sent == instant()
                              ? now - this->request.arrived
                              : this->first_sent - this->request.arrived;
    const duration first = this->first_byte_at == instant()
                               ? duration::zero()
                               : this->first_byte_at - this->request.arrived;
    const std::optional<event_id> id(event_of(good));
    this->context.events.report(
        *id,
        {{"request_id", this->request.id},
         {"route", this->route.name},
         {"servable", this->request.model},
         {"organisation", this->organisation.name},
         {"end", to_string(this->end)},
         {"status", this->status},
         {"reason", to_string(this->reason)},
         {"server", this->last_server},
         {"server_limit", this->named_limit},
         {"sends", this->sends},
         {"objective_ms", whole_ms(this->route.objective)},
         {"wait_ms", whole_ms(wait)},
         {"first_ms", whole_ms(first)},
         {"total_ms", whole_ms(now - this->request.arrived)},
         {"events", this->events.events()}});
}

} // namespace roseworks::forward
