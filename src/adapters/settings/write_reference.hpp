#pragma once

#include <iosfwd>

namespace roseworks::settings
{

/// Writes the contents of docs/SETTINGS.md, generated from the settings table.
void write_reference(std::ostream& out);

} // namespace roseworks::settings
