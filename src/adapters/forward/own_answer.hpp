#pragma once

#include "adapters/forward/header_dialect.hpp"

#include <roseworks/instant.hpp>
#include <roseworks/verdict.hpp>

#include <string>
#include <string_view>

namespace roseworks::forward
{

/// A response that the router generates itself.
struct own_answer
{
    unsigned status = 503;
    verdict outcome = verdict::not_run;
    refusal_reason reason = refusal_reason::none;
    duration retry_after{}; ///< left out when zero
};

/// @return The response to a request for which there is no backend server's
///         response. If the request may have run, the status never says that it
///         has not.
own_answer make_own_answer(
    refusal_reason reason, verdict outcome, duration retry_after = {});

/// @param id Request ID; empty if unknown.
/// @return   The serialised response.
std::string to_bytes(
    const own_answer& answer,
    const header_dialect& names,
    std::string_view id,
    bool keep_alive,
    bool head_only);

} // namespace roseworks::forward
