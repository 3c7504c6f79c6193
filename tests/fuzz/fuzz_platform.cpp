// What the users' platform and its backend servers say: configuration,
// registry entries, reports, reads of keyed topics and group membership. The
// first byte chooses the decoder.

#include "platform/deployment_decoder.hpp"
#include "platform/server_decoder.hpp"
#include "platform/store_frames.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace roseworks::users_platform;

namespace
{

void check(bool holds)
{
    if (!holds)
        std::abort();
}

void run(char kind, std::string_view text)
{
    switch (kind)
    {
    case 'c':
        if (const auto read = decode_deployment(text); read.value)
            check(read.invalid_field.empty());
        return;
    case 's':
        if (const auto read = decode_server("i", text); read.value)
            check(read.value->slots > 0 && !read.value->address.empty());
        return;
    case 'r':
        static_cast<void>(decode_report(text));
        return;
    case 'f':
    {
        const auto page = parse_keyed_frames(text, 7);
        check(page.records.size() <= page.next);
        return;
    }
    case 'n':
        static_cast<void>(parse_listing(text));
        return;
    default:
        static_cast<void>(parse_membership(text, "placement"));
        return;
    }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view all(reinterpret_cast<const char*>(data), size);
    run(all.front(), all.substr(1));
    return 0;
}
