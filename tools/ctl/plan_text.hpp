#pragma once

#include <roseworks/plan.hpp>

#include <iosfwd>

namespace roseworks::tools
{

/// Writes the changes, field by field.
void print_changes(std::ostream& out, const plan& made);

/// Writes what the changes lead to, and the warnings.
void print_effects(std::ostream& out, const plan& made);

} // namespace roseworks::tools
