#pragma once

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

} // namespace roseworks
