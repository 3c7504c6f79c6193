#include "adapters/peers/deflate.hpp"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <algorithm>

namespace roseworks::peers
{

namespace zlib = boost::beast::zlib;
using boost::system::error_code;

namespace
{

using namespace std::string_view_literals;

/// An empty block of fixed codes, at the start of a byte.
constexpr std::string_view empty_final_block = "\x03\x00"sv;

} // namespace

std::string deflate(std::string_view text)
{
    zlib::deflate_stream stream;
    // Room for the marks of both flushes.
    constexpr std::size_t flush_bytes = 32;
    std::string compressed(stream.upper_bound(text.size()) + flush_bytes, '\0');
    zlib::z_params progress;
    progress.next_in = text.data();
    progress.avail_in = text.size();
    progress.next_out = compressed.data();
    progress.avail_out = compressed.size();
    error_code ignored; // the whole output fits
    // The stream may lack the last bits of its final block. So that block is
    // empty, and its last byte is known.
    stream.write(progress, zlib::Flush::sync, ignored);
    stream.write(progress, zlib::Flush::finish, ignored);
    compressed.resize(progress.total_out);
    if (!compressed.ends_with(empty_final_block))
        compressed += '\0';
    return compressed;
}

std::optional<std::string>
inflate(std::string_view compressed, std::size_t max_bytes)
{
    constexpr std::size_t first_factor = 4; // a usual ratio for JSON
    zlib::inflate_stream stream;
    std::string text(
        std::min(compressed.size() * first_factor + 1, max_bytes), '\0');
    zlib::z_params progress;
    progress.next_in = compressed.data();
    progress.avail_in = compressed.size();
    error_code error;
    while (true)
    {
        progress.next_out = text.data() + progress.total_out;
        progress.avail_out = text.size() - progress.total_out;
        stream.write(progress, zlib::Flush::sync, error);
        if (error || progress.avail_out != 0 || text.size() >= max_bytes)
            break;
        text.resize(std::min(text.size() * 2, max_bytes));
    }
    if (error != zlib::error::end_of_stream)
        return std::nullopt;
    text.resize(progress.total_out);
    return text;
}

} // namespace roseworks::peers
