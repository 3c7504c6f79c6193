#pragma once

#include <roseworks/ids.hpp>

#include <string>
#include <string_view>

namespace roseworks::tools
{

/// @return `model agri-lm: `, the start of a violation's text.
inline std::string about(std::string_view kind, std::string_view name)
{
    return std::string(kind) + ' ' + std::string(name) + ": ";
}

/// @return `replica 42: `.
inline std::string about(replica_id id)
{
    return about("replica", std::to_string(id.value));
}

} // namespace roseworks::tools
