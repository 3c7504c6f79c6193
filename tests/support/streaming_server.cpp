#include "tests/support/streaming_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <sstream>
#include <utility>

namespace roseworks::test
{

namespace asio = boost::asio;

namespace
{

/// Between two events, so that a stream lasts for some time.
constexpr std::chrono::milliseconds event_interval{30};

std::string header_of(const std::string& head, const std::string& name)
{
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

std::string chunk(const std::string& content)
{
    std::ostringstream text;
    text << std::hex << content.size() << "\r\n" << content << "\r\n";
    return text.str();
}

} // namespace

streaming_server::streaming_server(std::string version)
    : software(std::move(version))
    , acceptor(
          this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , accepting(
          [this]
          {
              this->accept();
          })
{
}

streaming_server::~streaming_server()
{
    this->closing = true;
    boost::system::error_code ignored;
    tcp::socket wake(this->context);
    wake.connect(this->acceptor.local_endpoint(), ignored);
    this->accepting.join();
    this->reset();
    for (std::thread& thread : this->threads)
        thread.join();
}

std::string streaming_server::entry() const
{
    return R"({"service":"s","address":"127.0.0.1:)" +
           std::to_string(this->acceptor.local_endpoint().port()) +
           R"(","zone":"dc","version":")" + this->software +
           R"(","slots":64,"state":"ready","seq":1})";
}

void streaming_server::reset()
{
    const std::lock_guard lock(this->mutex);
    boost::system::error_code ignored;
    for (const auto& socket : this->sockets)
        socket->shutdown(tcp::socket::shutdown_both, ignored);
}

void streaming_server::accept()
{
    while (true)
    {
        auto socket = std::make_shared<tcp::socket>(this->context);
        boost::system::error_code error;
        this->acceptor.accept(*socket, error);
        if (this->closing)
            return;
        if (error)
            continue;
        const std::lock_guard lock(this->mutex);
        this->sockets.push_back(socket);
        this->threads.emplace_back(
            [this, socket]
            {
                this->serve(socket);
            });
    }
}

void streaming_server::serve(const std::shared_ptr<tcp::socket>& socket) const
{
    std::string received;
    boost::system::error_code error;
    while (!error)
    {
        const std::size_t size = asio::read_until(
            *socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
        if (error)
            return;
        const std::string head = received.substr(0, size);
        received.erase(0, size);
        const std::string last = header_of(head, "Last-Event-Id");
        std::string head_bytes =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\nAttempt-Id: " +
            header_of(head, "Attempt-Id") + "\r\n\r\n";
        asio::write(*socket, asio::buffer(head_bytes), error);
        const int first = last.empty() ? 1 : std::stoi(last) + 1;
        for (int id = first; id <= event_count && !error; ++id)
        {
            const std::string event = chunk(
                "id: " + std::to_string(id) + "\ndata: " + this->software +
                "\n\n");
            asio::write(*socket, asio::buffer(event), error);
            std::this_thread::sleep_for(event_interval);
        }
        const std::string end = "0\r\n\r\n";
        if (!error)
            asio::write(*socket, asio::buffer(end), error);
    }
}

} // namespace roseworks::test
