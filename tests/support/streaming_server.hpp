#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace roseworks::test
{

/** A backend server on loopback that streams numbered events, each with the
    version of its software, and goes on after the event that a request names.
*/
class streaming_server
{
public:
    static constexpr int event_count = 40;

    explicit streaming_server(std::string version);
    ~streaming_server();
    streaming_server(streaming_server&&) = delete;
    streaming_server& operator=(streaming_server&&) = delete;

    /// @return Its entry in the registry.
    std::string entry() const;

    /// Breaks off all streams.
    void reset();

private:
    using tcp = boost::asio::ip::tcp;

    void accept();
    void serve(const std::shared_ptr<tcp::socket>& socket) const;

    std::string software;
    boost::asio::io_context context;
    tcp::acceptor acceptor;
    std::atomic<bool> closing{false};
    std::mutex mutex;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    std::vector<std::thread> threads;
    std::thread accepting;
};

} // namespace roseworks::test
