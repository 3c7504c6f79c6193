#include "adapters/edge/sse_reader.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

/// Cuts any bytes into pieces and feeds them to the event reader. Aborts when
/// the cut changes what comes out, or when bytes are changed or doubled.

namespace
{

using roseworks::edge::sse_reader;

constexpr std::size_t limit = 256;

void require(bool holds)
{
    if (!holds)
        std::abort();
}

struct outcome
{
    bool fits = true;
    std::string passed;
    std::string done;
    std::uint32_t tokens = 0;

    bool operator==(const outcome&) const = default;
};

/// @param position what the caller has; null: it doesn't matter.
outcome read(
    std::string_view text,
    std::size_t piece,
    roseworks::stream_position* position = nullptr)
{
    sse_reader reader(limit, position);
    outcome result;
    for (std::size_t at = 0; at < text.size() && result.fits; at += piece)
    {
        result.fits = reader.feed(text.substr(at, piece));
        result.passed += reader.take_ready();
    }
    result.done = reader.done_event();
    result.tokens = reader.tokens();
    return result;
}

/// Reads the text as the rest of a stream of which events 6 and 7 came.
outcome join(std::string_view text, std::size_t piece)
{
    roseworks::stream_position position;
    position.begin_run("g");
    position.accept("6");
    position.accept("7");
    position.begin_run("g");
    outcome result = read(text, piece, &position);
    require(position.last_id() == 7 + result.tokens);
    require(position.resumable() || !result.fits);
    return result;
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::size_t piece = 1 + data[0] % 16;
    const std::string_view text(
        reinterpret_cast<const char*>(data + 1), size - 1);
    const outcome whole = read(text, text.size() + 1);
    require(read(text, piece) == whole);
    require(read(text, 1) == whole);
    require(text.starts_with(whole.passed + whole.done));
    const outcome joined = join(text, text.size() + 1);
    require(join(text, piece) == joined);
    require(join(text, 1) == joined);
    require(text.starts_with(joined.passed + joined.done));
    return 0;
}
