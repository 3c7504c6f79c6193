#include "adapters/edge/traffic_thread.hpp"

#include "adapters/edge/request_memory.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <chrono>
#include <exception>
#include <utility>
#include <vector>

namespace roseworks::edge
{

namespace
{

constexpr std::chrono::seconds sweep_interval{5};

} // namespace

class connection_count
{
public:
    explicit connection_count(edge_context& shared)
        : context(shared)
        , open(++shared.connections)
    {
        this->context.ports.observer.caller_connected();
    }

    ~connection_count()
    {
        this->context.ports.observer.caller_disconnected();
        --this->context.connections;
    }

    connection_count(const connection_count&) = delete;
    connection_count& operator=(const connection_count&) = delete;

    bool over_limit() const
    {
        return this->open > this->context.options.max_connections;
    }

private:
    edge_context& context;
    std::size_t open;
};

traffic_thread::traffic_thread(
    asio::any_io_executor loop,
    std::shared_ptr<edge_context> shared,
    std::size_t max_memory)
    : executor(std::move(loop))
    , context(std::move(shared))
    , pool(this->executor, *this->context)
    , memory({.max_bytes = max_memory})
    , sweep_timer(this->executor)
{
    this->memory.set_largest_request(largest_request(this->context->options));
}

void traffic_thread::start()
{
    asio::co_spawn(
        this->executor,
        [self = this->shared_from_this()]
        {
            return self->sweep();
        },
        asio::detached);
}

void traffic_thread::serve(tcp::socket socket)
{
    auto shared_socket = std::make_shared<tcp::socket>(std::move(socket));
    auto count = std::make_shared<connection_count>(*this->context);
    asio::co_spawn(
        this->executor,
        [self = this->shared_from_this(), shared_socket, count]
        {
            return self->run_session(std::move(*shared_socket), count);
        },
        asio::detached);
}

asio::awaitable<void> traffic_thread::run_session(
    tcp::socket socket, std::shared_ptr<connection_count> count)
{
    const auto self = this->shared_from_this();
    const bool has_place =
        !count->over_limit() || this->memory.free_place(this->context->now());
    caller_session session(
        *this->context, this->pool, this->memory, std::move(socket));
    this->sessions.insert(&session);
    try
    {
        if (has_place)
            co_await session.run();
        else
            co_await session.reject_over_limit();
    }
    catch (const std::exception& error)
    {
        this->context->ports.events.report(
            event_id::internal_error,
            {{"where", "caller_session"}, {"reason", error.what()}});
    }
    this->sessions.erase(&session);
}

void traffic_thread::start_drain()
{
    for (caller_session* session : this->sessions)
        session->start_drain();
}

void traffic_thread::force_end()
{
    for (caller_session* session : this->sessions)
        session->force_end();
}

void traffic_thread::stop()
{
    this->stopped = true;
    this->sweep_timer.cancel();
}

asio::awaitable<void> traffic_thread::sweep()
{
    const auto self = this->shared_from_this();
    while (!this->stopped)
    {
        this->sweep_timer.expires_after(sweep_interval);
        co_await this->sweep_timer.async_wait(use_awaitable_tuple);
        this->pool.sweep();
        report_limits(
            "listen",
            this->memory,
            this->context->ports.observer,
            this->context->ports.events);
    }
}

} // namespace roseworks::edge
