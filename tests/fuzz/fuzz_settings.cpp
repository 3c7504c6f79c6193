#include "adapters/settings/load_router_settings.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string>

/// Feeds any text to the reader of a router's settings. Aborts when it is
/// refused without a reason.

extern "C" int
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's own name
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    namespace leaf = boost::leaf;
    using namespace roseworks::settings;

    std::istringstream in(
        std::string(reinterpret_cast<const char*>(data), size));
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_CHECK(load_router_settings(in, "fuzz"));
            return {};
        },
        [](const settings_problems& problems)
        {
            if (problems.all.empty())
                std::abort();
            std::ostringstream out;
            out << problems;
        },
        []
        {
            std::abort();
        });
    return 0;
}
