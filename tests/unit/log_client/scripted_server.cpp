#include "scripted_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <chrono>
#include <utility>

namespace roseworks::testing
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct scripted_server::session
{
    explicit session(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    request taken;
    std::string text;
};

scripted_server::scripted_server(asio::io_context& context, script wanted)
    : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , answers(std::move(wanted))
{
    this->accept();
}

scripted_server::~scripted_server()
{
    this->stop();
}

tcp::endpoint scripted_server::endpoint() const
{
    return this->acceptor.local_endpoint();
}

void scripted_server::stop()
{
    beast::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& one : this->sessions)
        one->socket.close(ignored);
    this->sessions.clear();
}

void scripted_server::accept()
{
    this->acceptor.async_accept(
        [this](beast::error_code error, tcp::socket accepted)
        {
            if (error)
                return;
            ++this->connections;
            auto on = std::make_shared<session>(std::move(accepted));
            this->sessions.push_back(on);
            this->read(on);
            this->accept();
        });
}

void scripted_server::read(const std::shared_ptr<session>& on)
{
    on->taken = {};
    http::async_read(
        on->socket,
        on->buffer,
        on->taken,
        [this, on](beast::error_code error, std::size_t)
        {
            if (error)
                return;
            this->requests.push_back(on->taken);
            this->answer(on);
        });
}

void scripted_server::answer(const std::shared_ptr<session>& on)
{
    using kind = scripted_answer::kind;
    const scripted_answer wanted = this->answers(on->taken);
    beast::error_code ignored;
    if (wanted.how == kind::hold)
        return;
    if (wanted.how == kind::close)
    {
        on->socket.close(ignored);
        return;
    }
    on->text = "HTTP/1.1 " + std::to_string(wanted.status) + " X\r\n" +
               wanted.headers +
               "Content-Length: " + std::to_string(wanted.body.size()) +
               "\r\n\r\n" + wanted.body;
    if (wanted.how == kind::cut)
        on->text.pop_back();
    asio::async_write(
        on->socket,
        asio::buffer(on->text),
        [this, on, how = wanted.how](beast::error_code error, std::size_t)
        {
            beast::error_code dropped;
            if (how == kind::cut)
                on->socket.close(dropped);
            else if (!error)
                this->read(on);
        });
}

bool run_until(
    asio::io_context& context, const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds generous{20};
    constexpr std::chrono::milliseconds step{20};
    const auto limit = std::chrono::steady_clock::now() + generous;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        context.restart();
        context.run_one_for(step);
    }
    return true;
}

} // namespace roseworks::testing
