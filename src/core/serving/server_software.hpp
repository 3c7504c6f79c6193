#pragma once

#include <roseworks/ids.hpp>

#include <string_view>

namespace roseworks
{

/** Identifies the software of a backend server.

    Versions have no order: they are only compared for equality. Servers of two
    services never have the same software.

    @param service Name of the service.
    @param version As the server announces it; empty: it announces none.
    @return        0 if the version is empty.
*/
software_version
software_of(std::string_view service, std::string_view version);

} // namespace roseworks
