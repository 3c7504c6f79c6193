#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace roseworks::edge::tests
{

/// A connection that a fake backend server has accepted.
class backend_peer
{
public:
    explicit backend_peer(boost::asio::ip::tcp::socket accepted, int order)
        : socket(std::move(accepted))
        , number(order)
    {
    }

    /// @return The next request with head and body; empty at the end.
    std::string read_request();

    /// Sends bytes without any framing.
    void send(std::string_view bytes);

    /// Sends a complete JSON response that echoes the request id.
    void answer(
        const std::string& request,
        std::string_view body,
        unsigned status = 200);

    /// Starts a chunked event stream that echoes the request id.
    /// @param extra Further header lines, each with its line end.
    void start_stream(const std::string& request, std::string_view extra = {});
    void send_chunk(std::string_view bytes);

    /// Reads until the router closes the connection.
    void wait_for_close();

    void shut_down();

    boost::asio::ip::tcp::socket socket;
    const int number; ///< 0 for the first connection

private:
    std::string pending;
};

/// A backend server with blocking sockets and a thread for each connection.
class fake_backend
{
public:
    using script = std::function<void(backend_peer&)>;

    explicit fake_backend(script on_connection);
    ~fake_backend();

    std::string address() const;
    int connections() const
    {
        return this->accepted;
    }

private:
    void accept();

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    script run;
    std::atomic<int> accepted{0};
    std::atomic<bool> closing{false};
    std::mutex mutex;
    std::vector<std::shared_ptr<backend_peer>> peers;
    std::vector<std::thread> threads;
    std::thread accepting;
};

/// @return The value of a header in the text of a request, empty if missing.
std::string header_of(const std::string& request, const std::string& name);

} // namespace roseworks::edge::tests
