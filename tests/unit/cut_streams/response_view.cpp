#include "response_view.hpp"

#include <charconv>

namespace roseworks::forward::tests
{

namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view status_line_start = "HTTP/1.1 ";

std::size_t parse_size(std::string_view text, int base)
{
    std::size_t size = 0;
    std::from_chars(text.data(), text.data() + text.size(), size, base);
    return size;
}

/// Removes the first chunk.
/// @return The content of the chunk; empty at the last chunk, and if a part of
///         the chunk is missing.
std::string_view take_chunk(std::string_view& bytes, bool& is_last)
{
    constexpr int hexadecimal = 16;
    const std::size_t size_end = bytes.find(line_end);
    if (size_end == std::string_view::npos)
        return {};
    const std::size_t size = parse_size(bytes.substr(0, size_end), hexadecimal);
    const std::size_t start = size_end + line_end.size();
    if (bytes.size() < start + size + line_end.size())
        return {};
    is_last = size == 0;
    const std::string_view content = bytes.substr(start, size);
    bytes.remove_prefix(start + size + line_end.size());
    return content;
}

void decode_chunks(std::string_view bytes, response_view& result)
{
    bool is_last = false;
    std::string_view content;
    do
    {
        content = take_chunk(bytes, is_last);
        result.body += content;
    } while (!content.empty());
    result.is_complete = is_last && bytes.empty();
}

} // namespace

response_view view_response(std::string_view bytes)
{
    constexpr std::string_view length_name = "Content-Length: ";
    constexpr std::string_view chunked = "Transfer-Encoding: chunked\r\n";
    constexpr int decimal = 10;
    response_view result;
    const std::size_t head_end = bytes.find("\r\n\r\n");
    if (head_end == std::string_view::npos)
        return result;
    result.head = bytes.substr(0, head_end + line_end.size());
    const std::string_view body = bytes.substr(head_end + 4);
    result.status = static_cast<unsigned>(parse_size(
        std::string_view(result.head).substr(status_line_start.size()),
        decimal));
    const std::size_t length = result.head.find(length_name);
    if (result.head.find(chunked) != std::string::npos)
    {
        decode_chunks(body, result);
        return result;
    }
    result.body = body;
    if (length == std::string::npos)
    {
        result.is_complete = true;
        return result;
    }
    const std::size_t size = parse_size(
        std::string_view(result.head).substr(length + length_name.size()),
        decimal);
    result.is_complete = body.size() == size;
    return result;
}

} // namespace roseworks::forward::tests
