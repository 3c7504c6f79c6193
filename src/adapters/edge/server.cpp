#include "adapters/edge/server.hpp"

#include "adapters/edge/traffic_thread.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/error.hpp>

#include <chrono>
#include <utility>

namespace roseworks::edge
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::chrono::milliseconds drain_poll_interval{10};
constexpr std::chrono::milliseconds accept_retry_delay{50};
/// Time for the explicit errors to be sent once the drain limit is reached.
constexpr std::chrono::seconds forced_end_time{1};

} // namespace

class server::impl : public std::enable_shared_from_this<server::impl>
{
public:
    impl(
        edge_options settings,
        edge_dependencies dependencies,
        std::vector<asio::any_io_executor> loops)
        : context(
              std::make_shared<edge_context>(settings, std::move(dependencies)))
        , acceptor(loops.front())
    {
        const std::size_t memory = settings.max_request_memory / loops.size();
        for (const asio::any_io_executor& loop : loops)
            this->threads.push_back(
                std::make_shared<traffic_thread>(loop, this->context, memory));
    }

    beast::error_code open(const tcp::endpoint& endpoint);
    void start();
    asio::awaitable<void> accept();
    asio::awaitable<void>
    drain(duration limit, std::function<void(std::size_t)> done);
    asio::awaitable<void> wait_for_callers(duration limit);
    void accept_backlog();
    traffic_thread& next_thread();
    void post_to_all(void (traffic_thread::*action)());
    void stop();

    std::shared_ptr<edge_context> context;
    std::vector<std::shared_ptr<traffic_thread>> threads;
    tcp::acceptor acceptor; ///< used on the first loop once it accepts
    tcp::endpoint bound;
    std::size_t next = 0;
};

beast::error_code server::impl::open(const tcp::endpoint& endpoint)
{
    beast::error_code error = open_listener(
        this->acceptor, endpoint, this->context->options.receive_buffer);
    if (!error)
        this->bound = this->acceptor.local_endpoint(error);
    if (!error)
        this->acceptor.non_blocking(true, error);
    return error;
}

void server::impl::start()
{
    for (const auto& thread : this->threads)
        thread->start();
    asio::co_spawn(
        this->threads.front()->executor,
        [self = this->shared_from_this()]
        {
            return self->accept();
        },
        asio::detached);
}

asio::awaitable<void> server::impl::accept()
{
    const auto self = this->shared_from_this();
    asio::steady_timer retry_timer(this->threads.front()->executor);
    while (this->acceptor.is_open())
    {
        traffic_thread& thread = this->next_thread();
        auto [error, socket] = co_await this->acceptor.async_accept(
            thread.executor, use_awaitable_tuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
        {
            // Usually out of file descriptors: waits until some are closed.
            retry_timer.expires_after(accept_retry_delay);
            co_await retry_timer.async_wait(use_awaitable_tuple);
            continue;
        }
        thread.serve(std::move(socket));
    }
}

traffic_thread& server::impl::next_thread()
{
    this->next = (this->next + 1) % this->threads.size();
    return *this->threads[this->next];
}

/// Accepts the connections in the kernel's backlog. They would be reset when
/// the acceptor is closed.
void server::impl::accept_backlog()
{
    beast::error_code error;
    while (!error)
    {
        traffic_thread& thread = this->next_thread();
        tcp::socket socket = this->acceptor.accept(thread.executor, error);
        if (!error)
            thread.serve(std::move(socket));
    }
}

asio::awaitable<void>
server::impl::drain(duration limit, std::function<void(std::size_t)> done)
{
    const auto self = this->shared_from_this();
    this->context->draining = true;
    this->accept_backlog();
    beast::error_code ignored;
    this->acceptor.close(ignored);
    this->context->ports.dispatch.drain();
    this->post_to_all(&traffic_thread::start_drain);
    co_await this->wait_for_callers(limit);
    const std::size_t unfinished = this->context->connections;
    if (unfinished != 0)
    {
        this->post_to_all(&traffic_thread::force_end);
        co_await this->wait_for_callers(forced_end_time);
    }
    this->post_to_all(&traffic_thread::stop);
    done(unfinished);
}

asio::awaitable<void> server::impl::wait_for_callers(duration limit)
{
    const instant end = this->context->now() + limit;
    asio::steady_timer timer(this->threads.front()->executor);
    while (this->context->connections != 0 && this->context->now() < end)
    {
        timer.expires_after(drain_poll_interval);
        co_await timer.async_wait(use_awaitable_tuple);
    }
}

void server::impl::post_to_all(void (traffic_thread::*action)())
{
    for (const auto& thread : this->threads)
        asio::post(
            thread->executor,
            [thread, action]
            {
                (thread.get()->*action)();
            });
}

void server::impl::stop()
{
    beast::error_code ignored;
    this->acceptor.close(ignored);
    this->post_to_all(&traffic_thread::stop);
}

server::server(
    edge_options settings,
    edge_dependencies dependencies,
    std::vector<asio::any_io_executor> loops)
    : self(std::make_shared<impl>(
          settings, std::move(dependencies), std::move(loops)))
{
}

server::~server()
{
    // A coroutine that still holds the implementation must not access the
    // threads of another event loop.
    beast::error_code ignored;
    this->self->acceptor.close(ignored);
    this->self->threads.clear();
}

leaf::result<tcp::endpoint> server::listen(const tcp::endpoint& endpoint)
{
    const beast::error_code error = this->self->open(endpoint);
    if (error)
        return leaf::new_error(error);
    this->self->start();
    return this->self->bound;
}

void server::drain(duration limit, std::function<void(std::size_t)> done)
{
    asio::co_spawn(
        this->self->threads.front()->executor,
        [self = this->self, limit, done = std::move(done)]
        {
            return self->drain(limit, done);
        },
        asio::detached);
}

void server::stop()
{
    asio::post(
        this->self->threads.front()->executor,
        [self = this->self]
        {
            self->stop();
        });
}

bool server::draining() const
{
    return this->self->context->draining;
}

std::size_t server::connections() const
{
    return this->self->context->connections;
}

} // namespace roseworks::edge
