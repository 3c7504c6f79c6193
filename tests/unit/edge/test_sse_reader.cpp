#include "adapters/edge/sse_reader.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace roseworks::edge;

namespace
{

constexpr std::size_t limit = 64;

/// Feeds the text in pieces of the given size.
/// @return The bytes that are passed on.
std::string
feed_in_pieces(std::string_view text, std::size_t piece, sse_reader& reader)
{
    std::string passed;
    for (std::size_t at = 0; at < text.size(); at += piece)
    {
        cr_assert(reader.feed(text.substr(at, piece)));
        passed += reader.take_ready();
    }
    return passed;
}

} // namespace

Test(sse_reader, result_does_not_depend_on_read_sizes)
{
    constexpr std::string_view text =
        "data: a\n\n: note\r\n\r\ndata: b\r\rdata:[DONE]\r\n\r\n";
    for (std::size_t piece = 1; piece <= text.size(); ++piece)
    {
        sse_reader reader(limit);
        const std::string passed = feed_in_pieces(text, piece, reader);
        cr_assert(passed + reader.done_event() == text);
        cr_assert(reader.done_event() == "data:[DONE]\r\n\r\n");
        cr_assert_eq(reader.tokens(), 2);
    }
}

Test(sse_reader, incomplete_event_is_held_back)
{
    sse_reader reader(limit);
    cr_assert(
        feed_in_pieces("data: a\n\ndata: b\n", 1, reader) == "data: a\n\n");
    reader.finish();
    cr_assert(reader.take_ready() == "data: b\n\n\n");
}

Test(sse_reader, what_follows_done_is_discarded)
{
    sse_reader reader(limit);
    cr_assert(feed_in_pieces("data: [DONE]\n\ndata: a\n\n", 1, reader).empty());
    cr_assert(reader.done_event() == "data: [DONE]\n\n");
    cr_assert_eq(reader.tokens(), 0);
}

Test(sse_reader, done_inside_a_larger_event_is_data)
{
    sse_reader reader(limit);
    feed_in_pieces("data: a\ndata: [DONE]\n\n", 1, reader);
    cr_assert(reader.done_event().empty());
    cr_assert_eq(reader.tokens(), 1);
}

Test(sse_reader, event_over_the_limit)
{
    sse_reader reader(limit);
    cr_assert(!reader.feed("data: " + std::string(limit, 'x')));
}
