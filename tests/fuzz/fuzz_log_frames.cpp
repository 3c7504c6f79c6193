// Feeds hostile bytes to the parser of the log's answers. What is accepted has
// to be consecutive and to account for every byte.

#include "adapters/log/log_frames.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <vector>

namespace
{

namespace leaf = boost::leaf;
using roseworks::log_entry;
using roseworks::log_offset;
using roseworks::log_client::parse_log_frames;

constexpr std::size_t header_bytes = 12;

void check(
    const std::vector<log_entry>& entries, std::uint64_t from, std::size_t size)
{
    std::size_t counted = 0;
    std::uint64_t expected = from;
    for (const log_entry& entry : entries)
    {
        if (entry.offset.value != expected)
            std::abort();
        ++expected;
        counted += header_bytes + entry.bytes.size();
    }
    if (counted != size)
        std::abort();
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    // The first byte says what was asked for, so that runs are found easily.
    const std::uint64_t from = data[0];
    const std::string_view bytes(
        reinterpret_cast<const char*>(data) + 1, size - 1);
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(entries, parse_log_frames(bytes, log_offset(from)));
            check(entries, from, bytes.size());
            return {};
        },
        [] {});
    return 0;
}
