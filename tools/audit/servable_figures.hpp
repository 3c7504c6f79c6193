#pragma once

#include <roseworks/specs.hpp>

#include <cstdint>
#include <variant>

namespace roseworks::tools
{

/// @return The memory of one replica in MiB.
inline std::uint32_t memory_of(const entity_spec& spec)
{
    if (const auto* adapter = std::get_if<adapter_spec>(&spec))
    {
        return adapter->memory_mib;
    }
    return std::get<model_spec>(spec).memory_mib;
}

/// @return The replicas never exceeded.
inline std::uint32_t maximum_of(const entity_spec& spec)
{
    if (const auto* adapter = std::get_if<adapter_spec>(&spec))
    {
        return adapter->max_replicas;
    }
    return std::get<model_spec>(spec).max_replicas;
}

} // namespace roseworks::tools
