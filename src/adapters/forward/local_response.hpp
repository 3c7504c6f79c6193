#pragma once

#include "adapters/forward/header_names.hpp"

#include <roseworks/instant.hpp>
#include <roseworks/verdict.hpp>

#include <string>
#include <string_view>

namespace roseworks::forward
{

/// A response that the router generates itself.
struct local_response
{
    unsigned status = 503;
    verdict outcome = verdict::not_run;
    refusal_reason reason = refusal_reason::none;
    duration retry_after{}; ///< left out when zero
};

/// @return The response to a request for which there is no backend server's
///         response. If the request may have run, the status never says that it
///         has not.
local_response make_local_response(
    refusal_reason reason, verdict outcome, duration retry_after = {});

/// @param id Request ID; empty if unknown.
/// @return   The serialised response.
std::string to_bytes(
    const local_response& response,
    const header_names& names,
    std::string_view id,
    bool keep_alive,
    bool head_only);

} // namespace roseworks::forward
