#pragma once

#include <boost/leaf/result.hpp>

#include <iosfwd>
#include <map>
#include <string>
#include <string_view>

namespace roseworks::platform
{

/// LEAF error object: a credentials file that can't be used. Never contains a
/// credential.
struct credentials_error
{
    std::string file;
    std::string what;
};

/// Bearer credentials for the engines that authenticate the sender of an order.
class credentials
{
public:
    credentials() = default;

    /** Reads an INI file of `engine = credential` lines, without sections.

        @param path The file.
        @return     The credentials, or a `credentials_error`.
    */
    static boost::leaf::result<credentials> load(const std::string& path);

    /// Reads the same format from a stream.
    /// @param name The file's name for error messages.
    static boost::leaf::result<credentials>
    load(std::istream& in, const std::string& name);

    /// @return The engine's credential, or empty if it has none.
    std::string_view find(std::string_view engine) const;

    friend bool operator==(const credentials&, const credentials&) = default;

private:
    std::map<std::string, std::string, std::less<>> credentials_by_engine;
};

} // namespace roseworks::platform
