#pragma once

#include "adapters/edge/caller_connection.hpp"
#include "adapters/edge/net.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace roseworks::forward
{

/// What a probe is told.
struct probe_answer
{
    unsigned status = 200;
    std::string body;
};

/** Answers the GET requests of a load balancer or a metrics collector.

    Belongs to one event loop and has to outlive its last run.
*/
class probe_server
{
public:
    using handler = std::function<probe_answer(std::string_view path)>;

    probe_server(edge::asio::any_io_executor loop, handler answers);

    /// @return What failed; empty when it listens.
    edge::beast::error_code listen(const edge::tcp::endpoint& endpoint);

    void stop();

private:
    edge::asio::awaitable<void> accept();
    edge::asio::awaitable<void> serve(edge::tcp::socket socket);

    edge::asio::any_io_executor executor;
    handler answer;
    edge::edge_options options;
    edge::tcp::acceptor acceptor;
};

} // namespace roseworks::forward
