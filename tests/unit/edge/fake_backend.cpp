#include "fake_backend.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <sstream>

namespace roseworks::edge::tests
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

std::size_t body_size(const std::string& head)
{
    const std::string text = header_of(head, "Content-Length");
    return text.empty() ? 0 : std::stoul(text);
}

} // namespace

std::string header_of(const std::string& request, const std::string& name)
{
    const auto start = request.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const auto value = start + name.size() + 4;
    return request.substr(value, request.find("\r\n", value) - value);
}

std::string backend_peer::read_request()
{
    std::array<char, 4096> piece;
    while (true)
    {
        const auto end = this->pending.find("\r\n\r\n");
        if (end != std::string::npos)
        {
            const std::size_t size = end + 4 + body_size(this->pending);
            if (this->pending.size() >= size)
            {
                std::string request = this->pending.substr(0, size);
                this->pending.erase(0, size);
                return request;
            }
        }
        boost::system::error_code error;
        const auto count = this->socket.read_some(asio::buffer(piece), error);
        if (error)
            return {};
        this->pending.append(piece.data(), count);
    }
}

void backend_peer::send(std::string_view bytes)
{
    boost::system::error_code ignored;
    asio::write(
        this->socket, asio::buffer(bytes.data(), bytes.size()), ignored);
}

void backend_peer::answer(
    const std::string& request, std::string_view body, unsigned status)
{
    std::ostringstream text;
    text << "HTTP/1.1 " << status << " X\r\nContent-Type: application/json\r\n"
         << "X-Request-Id: " << header_of(request, "X-Request-Id")
         << "\r\nContent-Length: " << body.size() << "\r\n\r\n"
         << body;
    this->send(text.str());
}

void backend_peer::start_stream(
    const std::string& request, std::string_view extra)
{
    this->send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\nX-Request-Id: " +
        header_of(request, "X-Request-Id") + "\r\n" + std::string(extra) +
        "\r\n");
}

void backend_peer::send_chunk(std::string_view bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    this->send(text.str());
}

void backend_peer::wait_for_close()
{
    while (!this->read_request().empty())
    {
    }
}

void backend_peer::shut_down()
{
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
}

fake_backend::fake_backend(script on_connection)
    : acceptor(
          this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , run(std::move(on_connection))
    , accepting(
          [this]
          {
              this->accept();
          })
{
}

fake_backend::~fake_backend()
{
    this->closing = true;
    // Unblocks the accept call.
    tcp::socket wake_up(this->context);
    boost::system::error_code ignored;
    wake_up.connect(this->acceptor.local_endpoint(), ignored);
    this->accepting.join();
    for (const auto& peer : this->peers)
        peer->shut_down();
    for (std::thread& thread : this->threads)
        thread.join();
}

std::string fake_backend::address() const
{
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
}

void fake_backend::accept()
{
    while (true)
    {
        tcp::socket socket = this->acceptor.accept();
        if (this->closing)
            return;
        auto peer =
            std::make_shared<backend_peer>(std::move(socket), this->accepted++);
        this->peers.push_back(peer);
        this->threads.emplace_back(
            [this, peer]
            {
                this->run(*peer);
                peer->shut_down();
            });
    }
}

} // namespace roseworks::edge::tests
