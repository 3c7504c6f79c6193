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
    request received;
    std::string response;
};

scripted_server::scripted_server(asio::io_context& context, script answers)
    : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , answers(std::move(answers))
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
    for (const auto& open : this->sessions)
        open->socket.close(ignored);
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
            auto current = std::make_shared<session>(std::move(accepted));
            this->sessions.push_back(current);
            this->read(current);
            this->accept();
        });
}

void scripted_server::read(const std::shared_ptr<session>& current)
{
    current->received = {};
    http::async_read(
        current->socket,
        current->buffer,
        current->received,
        [this, current](beast::error_code error, std::size_t)
        {
            if (error)
                return;
            this->requests.push_back(current->received);
            this->answer(current);
        });
}

void scripted_server::answer(const std::shared_ptr<session>& current)
{
    using mode = scripted_answer::mode;
    const scripted_answer scripted = this->answers(current->received);
    beast::error_code ignored;
    if (scripted.answer_mode == mode::no_answer)
        return;
    if (scripted.answer_mode == mode::disconnect)
    {
        current->socket.close(ignored);
        return;
    }
    current->response = "HTTP/1.1 " + std::to_string(scripted.status) +
                        " X\r\n" + scripted.headers + "Content-Length: " +
                        std::to_string(scripted.body.size()) + "\r\n\r\n" +
                        scripted.body;
    if (scripted.answer_mode == mode::truncate)
        current->response.pop_back();
    asio::async_write(
        current->socket,
        asio::buffer(current->response),
        [this, current, answer_mode = scripted.answer_mode](
            beast::error_code error, std::size_t)
        {
            beast::error_code close_error;
            if (answer_mode == mode::truncate)
                current->socket.close(close_error);
            else if (!error)
                this->read(current);
        });
}

bool run_until(
    asio::io_context& context, const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds timeout{20};
    constexpr std::chrono::milliseconds step{20};
    const auto limit = std::chrono::steady_clock::now() + timeout;
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
