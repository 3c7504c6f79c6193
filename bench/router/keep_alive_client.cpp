#include "bench/router/keep_alive_client.hpp"

#include "bench/router/figures.hpp"

#include <boost/beast/http.hpp>

#include <chrono>

namespace roseworks::bench
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr double failed = -1;

} // namespace

keep_alive_client::keep_alive_client(std::string_view address)
    : address(address)
    , socket(this->context)
{
}

double keep_alive_client::call(const test::http_call& what)
{
    http::request<http::string_body> request;
    request.method_string(what.method);
    request.target(what.target);
    request.version(11);
    request.set(http::field::host, this->address);
    for (const auto& [name, value] : what.headers)
        request.set(name, value);
    request.body() = what.body;
    request.prepare_payload();

    if (!this->socket.is_open())
        this->connect();
    const auto start = std::chrono::steady_clock::now();
    beast::error_code error;
    http::write(this->socket, request, error);
    http::response<http::string_body> response;
    if (!error)
        http::read(this->socket, this->buffer, response, error);
    const double seconds = seconds_since(start);
    if (error || !response.keep_alive())
    {
        this->buffer.clear();
        beast::error_code ignored;
        this->socket.close(ignored);
    }
    return error || response.result() != http::status::ok ? failed : seconds;
}

void keep_alive_client::connect()
{
    const auto colon = this->address.rfind(':');
    const auto port =
        static_cast<std::uint16_t>(std::stoi(this->address.substr(colon + 1)));
    beast::error_code error;
    this->socket.connect(
        {asio::ip::make_address(this->address.substr(0, colon)), port}, error);
    this->socket.set_option(asio::ip::tcp::no_delay(true), error);
}

} // namespace roseworks::bench
