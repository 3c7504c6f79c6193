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

/// LEAF error object: a key file that can't be used, with file, section and
/// key in the text.
struct mac_key_error
{
    std::string what;
};

/** Keys that authenticate datagrams between routers.

    Any key listed is accepted from others; `current` seals what is sent. To
    rotate: list the new key everywhere, then make it current everywhere, then
    drop the old one.
*/
struct mac_keys
{
    /// Number used without a key file: datagrams are then checked for damage
    /// only, not for who sent them.
    static constexpr std::uint8_t no_key = 0;

    std::uint8_t current = no_key;
    std::map<std::uint8_t, std::vector<std::byte>> keys;

    /// @return Keys for a deployment that has no key file.
    static mac_keys unauthenticated();

    /** Read a key file: INI, section `[keys]`, `current = N` and lines
        `N = <32 to 128 hex digits>` with N from 1 to 255.

        @param path The file.
        @return     The keys, or a `mac_key_error`.
    */
    static boost::leaf::result<mac_keys> load(std::string_view path);
};

} // namespace roseworks
