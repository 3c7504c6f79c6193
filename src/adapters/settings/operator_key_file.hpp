#pragma once

#include <roseworks/operator_key.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

namespace roseworks::settings
{

/** Read the operators' public keys that a router expects: INI, section
    `[keys]`, lines `number = <64 hex digits>`.

    @param path The file.
    @return     At least one key, or `settings_problems` with file, line,
                section and key.
*/
boost::leaf::result<std::vector<operator_key>>
load_operator_keys(const std::string& path);

} // namespace roseworks::settings
