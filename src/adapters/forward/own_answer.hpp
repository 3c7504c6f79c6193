#pragma once

#include "adapters/forward/header_dialect.hpp"

#include <roseworks/instant.hpp>
#include <roseworks/verdict.hpp>

#include <string>
#include <string_view>

namespace roseworks::forward
{

/// An answer that doesn't come from a backend server.
struct own_answer
{
    unsigned status = 503;
    verdict outcome = verdict::not_run;
    refusal_reason reason = refusal_reason::none;
    duration retry_after{}; ///< left out when zero
};

/// @return The answer for a request that ends without a backend server's. One
///         that may have run never gets a status that says it has not.
own_answer make_own_answer(
    refusal_reason reason, verdict outcome, duration retry_after = {});

/// @return The answer's bytes.
/// @param id of the request; empty: unknown.
std::string to_bytes(
    const own_answer& answer,
    const header_dialect& names,
    std::string_view id,
    bool keep_alive,
    bool head_only);

} // namespace roseworks::forward
