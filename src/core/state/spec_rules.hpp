#pragma once

#include <roseworks/specs.hpp>

#include <string>
#include <string_view>

namespace roseworks::detail
{

/** What is wrong with a spec by itself, whatever else is declared.

    @param spec An entity's spec.
    @return     Field and fault, as `memory_mib: must not be 0`; empty when
                nothing is wrong.
*/
std::string problem_in(const entity_spec& spec);

/// @return What is wrong with an entity's name; empty when nothing is.
std::string problem_in_name(std::string_view name);

} // namespace roseworks::detail
