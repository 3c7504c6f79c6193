#pragma once

#include <roseworks/ids.hpp>

#include <charconv>
#include <string>
#include <string_view>

namespace roseworks
{

/// @return The dispatcher's key for a model (`model`) or adapter
///         (`model/adapter`). It includes the service because two services may
///         have models of the same name.
inline std::string
servable_key(std::string_view service, std::string_view servable)
{
    std::string key;
    key.reserve(service.size() + 1 + servable.size());
    key += service;
    key += '/';
    key += servable;
    return key;
}

/// Components of a servable key.
struct servable_parts
{
    std::string_view service;
    std::string_view model;
    std::string_view adapter; ///< empty for a base model
};

inline servable_parts split_servable_key(std::string_view key)
{
    servable_parts parts;
    const auto first = key.find('/');
    parts.service = key.substr(0, first);
    if (first == std::string_view::npos)
        return parts;
    const std::string_view servable = key.substr(first + 1);
    const auto second = servable.find('/');
    parts.model = servable.substr(0, second);
    if (second != std::string_view::npos)
        parts.adapter = servable.substr(second + 1);
    return parts;
}

/// Follows a servable's key where only servers of one software are of use.
/// Names contain no control characters.
inline constexpr char software_separator = '\x1d';

/// @return The key of a servable on servers of a software; the key itself if
///         any software will do.
inline std::string with_software(std::string key, software_version software)
{
    if (!software)
        return key;
    key += software_separator;
    key += std::to_string(software.value);
    return key;
}

/// A servable for which requests wait.
struct wanted_servable
{
    std::string_view servable; ///< its key
    software_version software; ///< of the servers that may run it; 0: all may
};

inline wanted_servable split_software(std::string_view key)
{
    wanted_servable wanted;
    const auto separator = key.find(software_separator);
    wanted.servable = key.substr(0, separator);
    if (separator == std::string_view::npos)
        return wanted;
    const std::string_view number = key.substr(separator + 1);
    std::from_chars(
        number.data(), number.data() + number.size(), wanted.software.value);
    return wanted;
}

} // namespace roseworks
