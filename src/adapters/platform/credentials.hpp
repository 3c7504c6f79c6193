#pragma once

#include <boost/leaf/result.hpp>

#include <iosfwd>
#include <map>
#include <string>
#include <string_view>

namespace roseworks::platform
{

/// LEAF error object: a credentials file that can't be used. Never holds a
/// credential.
struct credentials_problem
{
    std::string file;
    std::string what;
};

/// What this router shows to engines that check who gives them an order.
class credentials
{
public:
    /// No credentials at all.
    credentials() = default;

    /** Read an INI file of `engine = credential` lines, without sections.

        @param path The file.
        @return     The credentials, or a `credentials_problem`.
    */
    static boost::leaf::result<credentials> load(const std::string& path);

    /// As above, from a stream.
    static boost::leaf::result<credentials>
    load(std::istream& in, const std::string& name);

    /// @return The engine's credential, empty when there is none.
    std::string_view find(std::string_view engine) const;

    friend bool operator==(const credentials&, const credentials&) = default;

private:
    std::map<std::string, std::string, std::less<>> by_engine;
};

} // namespace roseworks::platform
