#pragma once

#include "fake_fleet.hpp"

#include <cstdint>
#include <string>
#include <variant>

#include <criterion/criterion.h>

namespace roseworks::test
{

inline model_spec model(std::uint32_t memory_mib, std::uint16_t max_replicas)
{
    model_spec spec;
    spec.memory_mib = memory_mib;
    spec.max_replicas = max_replicas;
    return spec;
}

/// A model of which `count` replicas are kept, no more and no less.
inline model_spec kept_model(std::uint32_t memory_mib, std::uint16_t count)
{
    model_spec spec = model(memory_mib, count);
    spec.min_replicas = count;
    return spec;
}

inline fake_engine::options
engine_of(std::uint32_t memory_mib, fencing_kind fencing = fencing_kind::checks)
{
    fake_engine::options what;
    what.memory_mib = memory_mib;
    what.fencing = fencing;
    return what;
}

inline void add_routers(fake_fleet& fleet, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index)
    {
        fleet.add_router("r" + std::to_string(index));
    }
}

inline void check_sound(const fake_fleet& fleet)
{
    for (const std::string& violation : fleet.violations())
    {
        cr_expect_fail("%s", violation.c_str());
    }
}

/// @return Index of the router that holds the engine; `size()` when none does.
inline std::size_t holder_of(fake_fleet& fleet, engine_id engine)
{
    const session_id holder = fleet.oracle().engine(engine)->holder;
    std::size_t index = 0;
    while (index < fleet.size() &&
           (!holder || fleet.at(index).control->session() != holder))
    {
        ++index;
    }
    return index;
}

} // namespace roseworks::test
