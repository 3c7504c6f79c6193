#pragma once

#include <string>
#include <string_view>

namespace roseworks
{

/// @return What the dispatcher calls a model (`model`) or adapter
///         (`model/adapter`) of a service: two services may each have a model
///         of one name.
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

/// A servable's name taken apart.
struct servable_parts
{
    std::string_view service;
    std::string_view model;
    std::string_view adapter; ///< empty: the base model
};

/// @return The parts of a `servable_key`.
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
