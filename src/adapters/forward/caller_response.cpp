#include "adapters/forward/caller_response.hpp"

#include <boost/beast/http/field.hpp>

#include <array>
#include <cstdio>
#include <string>

namespace roseworks::forward
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr unsigned version_1_1 = 11;
constexpr std::string_view chunked_framing = "Transfer-Encoding: chunked\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

std::string length_framing(std::size_t size)
{
    return "Content-Length: " + std::to_string(size) + "\r\n";
}

void append_chunk(std::string& bytes, std::string_view content)
{
    if (content.empty())
        return;
    std::array<char, 24> size{};
    const int digits =
        std::snprintf(size.data(), size.size(), "%zx\r\n", content.size());
    bytes.append(size.data(), static_cast<std::size_t>(digits));
    bytes += content;
    bytes += "\r\n";
}

} // namespace

caller_response::caller_response(
    forward_context& shared,
    edge::caller_connection& connection,
    const forward_request& answered)
    : context(shared)
    , caller(connection)
    , request(answered)
{
}

asio::awaitable<bool>
caller_response::send_whole(const response_head& head, std::string_view body)
{
    const beast::string_view stated = head[http::field::content_length];
    std::string framing;
    if (!this->request.head_only)
        framing = length_framing(body.size());
    else if (!stated.empty())
        framing = "Content-Length: " + std::string(stated) + "\r\n";
    std::string bytes = this->begin(head, framing);
    bytes += body;
    const bool written = co_await this->caller.write_raw(bytes);
    co_return written;
}

asio::awaitable<bool>
caller_response::send_part(const response_head& head, std::string_view part)
{
    if (part.empty())
        co_return true;
    std::string bytes = this->begin_parts(head);
    this->append_part(bytes, part);
    const bool written = co_await this->caller.write_raw(bytes);
    co_return written;
}

asio::awaitable<bool>
caller_response::finish(const response_head& head, std::string_view rest)
{
    std::string bytes = this->begin_parts(head);
    this->append_part(bytes, rest);
    if (!this->is_unframed)
        bytes += last_chunk;
    const bool written = co_await this->caller.write_raw(bytes);
    if (this->is_unframed && written)
        this->caller.end_unframed();
    co_return written;
}

void caller_response::append_part(
    std::string& bytes, std::string_view part) const
{
    if (this->is_unframed)
        bytes += part;
    else
        append_chunk(bytes, part);
}

std::string caller_response::begin_parts(const response_head& head)
{
    if (this->has_begun())
        return {};
    this->is_unframed = this->request.version < version_1_1;
    if (!this->is_unframed)
        return this->begin(head, chunked_framing);
    this->caller.begin_unframed();
    return this->begin(head, {});
}

std::string
caller_response::begin(const response_head& head, std::string_view framing)
{
    this->sent_status = head.result_int();
    std::string bytes = serialize_head(head, this->context.names);
    bytes += framing;
    const bool close = !this->request.keep_alive ||
                       this->context.closes_connections() || this->is_unframed;
    if (close)
        bytes += "Connection: close\r\n";
    bytes += "\r\n";
    return bytes;
}

} // namespace roseworks::forward
