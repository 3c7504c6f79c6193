#pragma once

#include <iosfwd>

namespace roseworks::settings
{

/// Writes docs/SETTINGS.md from the table of settings.
void write_reference(std::ostream& out);

} // namespace roseworks::settings
