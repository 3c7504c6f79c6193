#include "adapters/forward/attempt_run.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace roseworks::forward
{

attempt_run::attempt_run(
    forward_context& shared,
    edge::backend_pool& connections,
    grant given,
    server_identity identity,
    parameters to_send)
    : granted(std::move(given))
    , server(std::move(identity))
    , sent_at(shared.now())
    , context(shared)
    , pool(connections)
    , sent(std::move(to_send))
    , inbox(std::make_shared<edge::call_inbox>(connections.executor))
    , connection(shared, connections, *this->inbox)
{
}

void attempt_run::start(std::function<void()> on_settled)
{
    this->notify = std::move(on_settled);
    asio::co_spawn(
        this->pool.executor,
        [self = this->shared_from_this()]() -> asio::awaitable<void>
        {
            co_await self->run();
        },
        asio::detached);
}

void attempt_run::close()
{
    this->inbox->force_end();
}

asio::awaitable<void> attempt_run::run()
{
    this->last_state = co_await this->run_to_output();
    this->output =
        this->last_state == exchange_state::ok &&
        !is_not_run_refusal(this->connection.head(), this->context.names);
    this->settled = true;
    if (this->notify)
        std::exchange(this->notify, nullptr)();
}

asio::awaitable<exchange_state> attempt_run::run_to_output()
{
    if (this->inbox->interrupted())
        co_return exchange_state::interrupted;
    const exchange_target target{
        {this->granted.engine, this->granted.address}, this->server.instance};
    exchange_state state = co_await this->connection.send(
        target,
        this->sent.request,
        this->sent.longest_idle,
        this->sent.deadline);
    if (state == exchange_state::ok)
        state = co_await this->connection.read_head(
            this->context.names, this->sent.request_id, this->sent.head_only);
    const bool is_stream =
        state == exchange_state::ok &&
        this->connection.framing() != body_framing::none &&
        is_event_stream(this->connection.head()) &&
        !is_not_run_refusal(this->connection.head(), this->context.names);
    if (!is_stream)
        co_return state;
    this->connection.limit_body(this->context.settings.max_stream_bytes);
    co_return co_await this->connection.read_ahead_of_event(
        this->context.settings.max_bytes_without_event);
}

} // namespace roseworks::forward
