#include "adapters/forward/forward_server.hpp"

#include "adapters/edge/request_memory.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>
#include <vector>

namespace roseworks::forward
{

namespace
{

/// Interval between checks for idle connections that are too old or closed.
constexpr std::chrono::milliseconds sweep_interval{1000};

/// Pause after a failed accept. The usual cause is a lack of file descriptors,
/// which other connections release meanwhile.
constexpr std::chrono::milliseconds accept_pause{50};

std::chrono::milliseconds to_milliseconds(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length);
}

} // namespace

forward_server::forward_server(
    asio::any_io_executor loop,
    forward_context& shared,
    edge::edge_options caller_options)
    : executor(std::move(loop))
    , context(shared)
    , limits(caller_options)
    , pool(this->executor, shared)
    , acceptor(this->executor)
    , sweep_timer(this->executor)
    , delay_timer(this->executor)
    , guard(shared.settings.load)
    , memory({.max_bytes = caller_options.max_request_memory})
{
    this->memory.set_largest_request(edge::largest_request(this->limits));
}

beast::error_code forward_server::listen(const edge::tcp::endpoint& endpoint)
{
    beast::error_code error = edge::open_listener(
        this->acceptor, endpoint, this->limits.receive_buffer);
    if (!error)
        this->bound_endpoint = this->acceptor.local_endpoint(error);
    if (error)
        return error;
    asio::co_spawn(this->executor, this->accept(), asio::detached);
    asio::co_spawn(this->executor, this->sweep(), asio::detached);
    asio::co_spawn(this->executor, this->measure_delay(), asio::detached);
    return error;
}

void forward_server::set_caller_limits(const caller_bounds& bounds)
{
    this->limits.max_header_bytes = bounds.max_header_bytes;
    this->limits.max_body_bytes = bounds.max_body_bytes;
    this->limits.head_timeout = to_milliseconds(bounds.header_timeout);
    this->limits.caller_idle = to_milliseconds(bounds.idle_timeout);
    this->memory.set_largest_request(edge::largest_request(this->limits));
}

asio::awaitable<void> forward_server::accept()
{
    asio::steady_timer pause(this->executor);
    while (this->acceptor.is_open())
    {
        auto [error, socket] =
            co_await this->acceptor.async_accept(edge::use_awaitable_tuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
        {
            pause.expires_after(accept_pause);
            co_await pause.async_wait(edge::use_awaitable_tuple);
            continue;
        }
        if (!this->takes_connection())
        {
            this->refuse(socket);
            continue;
        }
        asio::co_spawn(
            this->executor,
            this->run_session(std::move(socket)),
            asio::detached);
    }
}

asio::awaitable<void> forward_server::run_session(edge::tcp::socket socket)
{
    forward_session session(
        this->context,
        this->pool,
        this->memory,
        std::move(socket),
        this->limits);
    this->sessions.insert(&session);
    this->update_shedding();
    this->context.observer.caller_connected();
    try
    {
        co_await session.run();
    }
    catch (const std::exception& error)
    {
        this->context.events.report(
            event_id::internal_error,
            {{"where", "forward_session"}, {"reason", error.what()}});
    }
    this->context.observer.caller_disconnected();
    this->sessions.erase(&session);
    this->update_shedding();
}

asio::awaitable<void> forward_server::sweep()
{
    while (!this->stopped)
    {
        this->sweep_timer.expires_after(sweep_interval);
        co_await this->sweep_timer.async_wait(edge::use_awaitable_tuple);
        this->pool.sweep();
        this->report_refused();
        this->report_limits();
    }
}

bool forward_server::takes_connection()
{
    const std::size_t open =
        this->sessions.size() -
        std::min(this->sessions.size(), this->memory.leaving());
    if (this->guard.takes_connection(open))
        return true;
    return !this->guard.is_overloaded() &&
           this->memory.free_place(this->context.now());
}

void forward_server::refuse(edge::tcp::socket& socket)
{
    ++this->refused;
    beast::error_code ignored;
    socket.close(ignored);
}

void forward_server::update_shedding()
{
    this->context.sheds_connections =
        !this->guard.keeps_connection(this->sessions.size());
}

void forward_server::report_refused()
{
    if (this->refused == 0)
        return;
    this->context.events.report(
        event_id::connections_refused,
        {{"refused", std::exchange(this->refused, 0)},
         {"open", this->sessions.size()},
         {"max", this->context.settings.load.max_connections},
         {"overloaded", this->guard.is_overloaded() ? 1 : 0}});
}

void forward_server::report_limits()
{
    edge::report_limits(
        "requests", this->memory, this->context.observer, this->context.events);
}

asio::awaitable<void> forward_server::measure_delay()
{
    while (!this->stopped)
    {
        const instant due =
            this->context.now() + this->context.settings.delay_interval;
        this->delay_timer.expires_after(this->context.settings.delay_interval);
        co_await this->delay_timer.async_wait(edge::use_awaitable_tuple);
        this->guard.delay_measured(this->context.now() - due);
        this->update_shedding();
    }
}

void forward_server::start_drain()
{
    this->context.draining = true;
}

void forward_server::close_idle()
{
    beast::error_code ignored;
    this->acceptor.close(ignored);
    const std::vector<forward_session*> open_sessions(
        this->sessions.begin(), this->sessions.end());
    for (forward_session* session : open_sessions)
        session->close_idle();
}

void forward_server::refuse_blocked()
{
    for (forward_session* session : this->sessions)
        session->refuse_blocked();
}

void forward_server::stop_sending()
{
    this->context.sends_requests = false;
    for (forward_session* session : this->sessions)
        session->refuse_waiting();
}

void forward_server::force_end()
{
    const std::vector<forward_session*> open_sessions(
        this->sessions.begin(), this->sessions.end());
    for (forward_session* session : open_sessions)
        session->force_end();
}

void forward_server::stop()
{
    this->stopped = true;
    this->sweep_timer.cancel();
    this->delay_timer.cancel();
    beast::error_code ignored;
    this->acceptor.close(ignored);
}

} // namespace roseworks::forward
