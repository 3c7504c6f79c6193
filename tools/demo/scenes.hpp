#pragma once

#include "tools/demo/demo_fleet.hpp"

#include <iosfwd>

namespace roseworks::tools
{

/// Each scene sends real requests, prints what came of them and notes the
/// promises that broke.

/// A burst for a cold model at every router at once.
void show_burst(
    const demo_fleet& fleet, promise_check& promises, std::ostream& out);

/// One streamed completion.
void show_stream(
    const demo_fleet& fleet, promise_check& promises, std::ostream& out);

/// One dispatch sent twice under one idempotency key, at two routers.
void show_dispatch(
    const demo_fleet& fleet, promise_check& promises, std::ostream& out);

/// A call of a plain service.
void show_service(
    const demo_fleet& fleet, promise_check& promises, std::ostream& out);

/// Replicas and loads that really happened, against those declared.
void show_ledgers(
    const demo_fleet& fleet, promise_check& promises, std::ostream& out);

} // namespace roseworks::tools
