#pragma once

#include "standins/common/notifier.hpp"
#include "standins/common/service.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace roseworks::standins
{

/// What the proxy does to the connections that pass through it.
enum class proxy_mode
{
    pass,
    silent,         ///< no bytes and no close, on new connections, too
    reset,          ///< TCP resets
    refuse,         ///< new connections are refused
    delay,          ///< each piece is held up
    truncate,       ///< closes after so many bytes toward the client
    swallow_answer, ///< closes the client's side when the answer comes
};

/// How a truncated connection ends.
enum class truncate_end
{
    close,
    reset,
    silent
};

/// A TCP proxy that disturbs connections. Its HTTP side is only the control.
class proxy_service : public service
{
public:
    /// @param listen where clients connect; port 0 picks a free one.
    /// @param server where the connections lead.
    proxy_service(
        asio::ip::tcp::endpoint listen, asio::ip::tcp::endpoint server);

    void start(asio::io_context& context) override;

private:
    using tcp = asio::ip::tcp;

    struct connection;
    enum class direction
    {
        to_target,
        to_client
    };

    void control(const json::object& command) override;
    [[nodiscard]] json::object ledger() const override;
    asio::awaitable<void> serve(exchange& call) override;

    void silence_connections();
    void reset_connections();

    asio::awaitable<void> accept_connections(tcp::acceptor acceptor);

    /// Holds the port without listening until the mode is another.
    asio::awaitable<void> hold_port(tcp::acceptor& acceptor);

    asio::awaitable<void> run(tcp::socket client);
    asio::awaitable<void> discard(std::shared_ptr<connection> link);
    asio::awaitable<void> pump(std::shared_ptr<connection> link, direction way);

    /// Looks for the watched text in a piece, in the clear.
    void watch(asio::const_buffer piece);

    /// Hands one piece on, as far as the mode lets it.
    ///
    /// @return False when this direction has ended.
    asio::awaitable<bool>
    forward(connection& link, direction way, asio::const_buffer piece);

    asio::awaitable<void> swallow(connection& link);
    void cut_off(connection& link) const;

    /// How many of these bytes may still go toward the client.
    std::size_t take_allowance(connection& link, std::size_t size) const;

    tcp::endpoint listen_endpoint;
    tcp::endpoint target_endpoint;
    proxy_mode mode = proxy_mode::pass;
    std::chrono::milliseconds delay{0};
    std::uint64_t truncate_after = 0;
    truncate_end truncate_how = truncate_end::close;
    std::uint64_t mode_changes = 0;
    notifier changed;
    tcp::acceptor* listening = nullptr;
    std::set<connection*> connections;
    std::uint64_t accepted = 0;
    std::uint64_t bytes_to_target = 0;
    std::uint64_t bytes_to_client = 0;
    std::uint64_t bytes_discarded = 0;
    std::string watched; ///< looked for in what passes; empty: nothing
    std::uint64_t watched_seen = 0; ///< pieces that held it
};

} // namespace roseworks::standins
