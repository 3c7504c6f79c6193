#pragma once

#include "tools/common/http_call.hpp"

#include <roseworks/ids.hpp>

#include <chrono>
#include <iosfwd>
#include <span>

namespace roseworks::tools
{

/** Wait until routers have folded an offset, by polling their `/state`.

    @param routers HTTP addresses.
    @param offset  What each must have folded.
    @param limit   How long to wait for all of them.
    @param secured Makes TLS contexts; null: plain HTTP.
    @param out     Gets a line a router: how long it took, or what it has.
    @return        Whether all have folded it.
*/
bool wait_for_routers(
    std::span<const endpoint> routers,
    log_offset offset,
    std::chrono::milliseconds limit,
    const tls::context_source* secured,
    std::ostream& out);

} // namespace roseworks::tools
