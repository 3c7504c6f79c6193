#pragma once

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// LEAF error object: a key file that can't be used. The text names the file,
/// the section and the key.
struct mac_key_error
{
    std::string what;
};

/** Keys that authenticate datagrams between routers.

    Received datagrams may use any listed key. Sent datagrams use the key
    `current`. To rotate keys, add the new key on all routers, then make it the
    current one on all routers, then remove the old key.
*/
struct mac_keys
{
    /// Key number used without a key file. The MAC then only detects damaged
    /// datagrams and doesn't authenticate the sender.
    static constexpr std::uint8_t no_key = 0;

    std::uint8_t current = no_key;
    std::map<std::uint8_t, std::vector<std::byte>> keys;

    /// @return The publicly known key of a deployment without a key file.
    static mac_keys unauthenticated();

    /** Reads a key file in INI format. Its section `[keys]` has a line
        `current = N` and lines `N = <32 to 128 hex digits>`, with N from 1 to
        255.

        @param path The file.
        @return     The keys, or a `mac_key_error`.
    */
    static boost::leaf::result<mac_keys> load(std::string_view path);
};

} // namespace roseworks
