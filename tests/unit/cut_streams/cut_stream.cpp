#include "cut_stream.hpp"

#include <boost/asio/socket_base.hpp>

#include <algorithm>
#include <sstream>

namespace roseworks::forward::tests
{

namespace
{

constexpr std::size_t bytes_of_a_chunk = 7;
constexpr std::string_view chunk_line_end = "\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

std::string chunk_of(std::string_view content)
{
    std::ostringstream text;
    text << std::hex << content.size() << chunk_line_end << content
         << chunk_line_end;
    return text.str();
}

std::string chunks_of(std::string_view content)
{
    std::string result;
    while (!content.empty())
    {
        const auto size = std::min(content.size(), bytes_of_a_chunk);
        result += chunk_of(content.substr(0, size));
        content.remove_prefix(size);
    }
    result += last_chunk;
    return result;
}

std::string framing_header(stream_framing framing, std::size_t size)
{
    switch (framing)
    {
    case stream_framing::connection:
        break;
    case stream_framing::length:
        return "Content-Length: " + std::to_string(size) + "\r\n";
    case stream_framing::chunked:
        return "Transfer-Encoding: chunked\r\n";
    }
    return {};
}

} // namespace

recorded_stream::recorded_stream(std::string_view line_end, stream_framing how)
    : framing(how)
{
    const std::vector<std::vector<std::string>> events = {
        {"id: 1", "data: a"},
        {"event: piece", "id: 2", "data: bb"},
        {"id: 3", "data: c", "data: d"},
        {"id: 4", "data: e"}};
    for (const auto& lines : events)
    {
        for (const std::string& line : lines)
            this->bytes.append(line).append(line_end);
        this->bytes += line_end;
        this->event_ends.push_back(this->bytes.size());
    }
}

std::string_view recorded_stream::after(std::size_t id) const
{
    const std::size_t start = id == 0 ? 0 : this->event_ends.at(id - 1);
    return std::string_view(this->bytes).substr(start);
}

bool recorded_stream::ends_with_event(std::size_t size) const
{
    return std::ranges::find(this->event_ends, size) != this->event_ends.end();
}

std::string recorded_stream::response(std::string_view content) const
{
    std::string result =
        "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n"
        "Content-Type: text/event-stream\r\n";
    result += framing_header(this->framing, content.size());
    result += "\r\n";
    if (this->framing == stream_framing::chunked)
        return result + chunks_of(content);
    return result.append(content);
}

std::size_t recorded_stream::head_size() const
{
    const std::size_t body_size = this->framing == stream_framing::chunked
                                      ? chunks_of(this->bytes).size()
                                      : this->bytes.size();
    return this->response(this->bytes).size() - body_size;
}

std::size_t recorded_stream::decoded_size(std::size_t sent) const
{
    const std::size_t head = this->head_size();
    const std::size_t received = sent > head ? sent - head : 0;
    if (this->framing != stream_framing::chunked)
        return received;
    std::size_t decoded = 0;
    std::size_t start = 0;
    while (decoded < this->bytes.size())
    {
        const auto size =
            std::min(this->bytes.size() - decoded, bytes_of_a_chunk);
        // One digit and its line end precede the content of a chunk.
        const std::size_t content_start = start + 1 + chunk_line_end.size();
        if (received <= content_start)
            return decoded;
        if (received < content_start + size)
            return decoded + received - content_start;
        decoded += size;
        start = content_start + size + chunk_line_end.size();
    }
    return decoded;
}

void end_connection(edge::tests::backend_peer& peer, connection_end how)
{
    boost::system::error_code ignored;
    if (how == connection_end::reset)
    {
        peer.socket.set_option(
            boost::asio::socket_base::linger(true, 0), ignored);
        peer.socket.close(ignored);
        return;
    }
    peer.shut_down();
}

} // namespace roseworks::forward::tests
