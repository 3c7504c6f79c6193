#pragma once

#include <roseworks/operator_key.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

namespace roseworks::settings
{

/** Reads the operators' public keys that a router expects from an INI file. Its
    section `[keys]` has lines `number = <64 hex digits>`.

    @param path The path of the file.
    @return     One or more keys, or a `settings_problems` error with file,
                line, section and key.
*/
boost::leaf::result<std::vector<operator_key>>
load_operator_keys(const std::string& path);

} // namespace roseworks::settings
