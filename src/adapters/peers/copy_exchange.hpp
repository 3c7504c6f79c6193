#pragma once

#include "adapters/platform/byte_meter.hpp"
#include "ports/directory_copy_port.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/** Exchanges copies of the store's topics between routers over TCP.

    Each connection carries one request and one response. Both are cereal
    archives, preceded by a length and a checksum. A response is compressed if
    its requester can decode that. A request may be held until there are newer
    records. All calls run on the control
    thread's I/O context, and the object must outlive the last run of that
    context.
*/
class copy_exchange final : public directory_copy_port
{
public:
    struct options
    {
        boost::asio::ip::tcp::endpoint listen;
        /// Maximum number of large responses that are sent concurrently.
        /// Further requests are refused, and their routers ask another router.
        std::size_t max_concurrent_requests = 8;
        /// Responses up to this size are always sent.
        std::size_t max_small_response_bytes = std::size_t(64) << 10;
        /// Connections beyond this number are closed.
        std::size_t max_connections = 64;
        std::chrono::milliseconds connect_timeout{250};
        /// An exchange is aborted when no data was transferred for this time.
        std::chrono::milliseconds idle_timeout{1000};
        std::size_t max_response_bytes = std::size_t(32) << 20;
    };

    /// Binds the port.
    /// @throws boost::system::system_error if the address can't be bound.
    copy_exchange(
        boost::asio::io_context& loop,
        options settings,
        platform::byte_meter& meter);

    void serve(directory_copy_source& source) override;
    void fetch(
        std::string_view address,
        const copy_request& request,
        copy_done done) override;
    void data_changed() override;
    void stop() override;

private:
    using stream = boost::beast::tcp_stream;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve_request(stream connection);
    boost::asio::awaitable<std::optional<directory_copy>>
    request_copy(boost::asio::ip::tcp::endpoint endpoint, copy_request request);
    boost::asio::awaitable<void> hold(const copy_request& request);
    boost::asio::awaitable<void>
    respond(stream& connection, const copy_request& request);
    std::shared_ptr<const std::string>
    encode_copy(std::shared_ptr<const directory_copy> copy, bool compressed);
    std::optional<directory_copy> decode_copy(std::string_view frame) const;
    boost::asio::awaitable<bool>
    write_frame(stream& to, std::shared_ptr<const std::string> frame);
    boost::asio::awaitable<std::optional<std::string>>
    read_frame(stream& from, std::size_t max_bytes);

    boost::asio::io_context& loop;
    options settings;
    platform::byte_meter& meter;
    boost::asio::ip::tcp::acceptor acceptor;
    directory_copy_source* source = nullptr;
    /// A copy and its encoded form.
    struct encoded_copy
    {
        std::shared_ptr<const directory_copy> copy;
        bool is_compressed = false;
        std::shared_ptr<const std::string> frame;
    };

    /// The copies sent last. Each is encoded once, because many routers request
    /// the same copy.
    std::vector<encoded_copy> encoded_copies;
    std::set<boost::asio::steady_timer*> held; ///< of requests that are held
    std::size_t connections = 0;
    std::size_t large_responses = 0; ///< that are being sent
    bool stopped = false;
};

} // namespace roseworks
