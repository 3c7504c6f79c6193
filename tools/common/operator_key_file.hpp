#pragma once

#include <roseworks/operator_key.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>

namespace roseworks::tools
{

/** Read the file of a secret operators' key: INI, section `[key]` with
    `number = N` and `secret = <64 hex digits>`.

    @param path The file.
    @return     The key, or an `input_error` that names file and key.
*/
boost::leaf::result<operator_signing_key>
load_signing_key(const std::string& path);

/** Make a random key and write its file, readable by its owner only.

    @param path   A file that doesn't exist yet.
    @param number The key's number.
    @return       The key, or an `input_error`.
*/
boost::leaf::result<operator_signing_key>
create_signing_key(const std::string& path, std::uint8_t number);

} // namespace roseworks::tools
