#pragma once

#include "adapters/platform/byte_meter.hpp"
#include "ports/directory_copy_port.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks
{

/** Copies of the store's topics between gateways over TCP: one ask and one
    answer a connection, each a cereal archive behind its length and a checksum.

    Runs on the control thread's context and has to outlive its last run.
*/
class copy_exchange final : public directory_copy_port
{
public:
    struct options
    {
        boost::asio::ip::tcp::endpoint listen;
        /// Routers that are answered at once; more are turned away, and ask
        /// another one.
        std::size_t most_at_once = 8;
        std::chrono::milliseconds connect_timeout{500};
        /// Without a byte for so long an exchange ends.
        std::chrono::milliseconds silence{1000};
        std::size_t most_bytes = std::size_t(32) << 20;
    };

    /// Binds the port.
    /// @throws boost::system::system_error when the address can't be bound.
    copy_exchange(
        boost::asio::io_context& loop,
        options settings,
        platform::byte_meter& meter);

    void serve(directory_copy_source& source) override;
    void fetch(
        std::string_view address,
        const copy_request& ask,
        copy_done done) override;
    void stop() override;

private:
    using stream = boost::beast::tcp_stream;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> answer(stream with);
    boost::asio::awaitable<std::optional<directory_copy>>
    ask(boost::asio::ip::tcp::endpoint whom, copy_request what);
    std::shared_ptr<const std::string>
    written(std::shared_ptr<const directory_copy> copy);
    boost::asio::awaitable<bool>
    write(stream& to, std::shared_ptr<const std::string> bytes);
    boost::asio::awaitable<std::optional<std::string>>
    read(stream& from, std::size_t most);

    boost::asio::io_context& loop;
    options settings;
    platform::byte_meter& meter;
    boost::asio::ip::tcp::acceptor acceptor;
    directory_copy_source* source = nullptr;
    /// Given last, and as it is sent: many ask for the same after a start.
    std::shared_ptr<const directory_copy> last;
    std::shared_ptr<const std::string> last_bytes;
    std::size_t answering = 0;
    bool stopped = false;
};

} // namespace roseworks
