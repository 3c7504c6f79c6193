#pragma once

#include "adapters/edge/call_headers.hpp"
#include "adapters/edge/request_target.hpp"
#include "core/request/progress_estimator.hpp"
#include "core/request/stream_position.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/dispatcher.hpp>
#include <roseworks/record.hpp>
#include <roseworks/routing_table.hpp>

#include <boost/beast/http/verb.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace roseworks::edge
{

/// A validated call that is ready for admission.
struct prepared_call
{
    request_target target;
    call_headers headers; ///< the request id is never empty
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string content_type;
    std::string body;
    unsigned version = 11;
    bool keep_alive = true;
    bool has_caller_request_id = false;
    bool stream = false;
    instant arrived;
    instant deadline;

    request_info info;
    std::optional<claim_request> claim; ///< must be granted before sending
    stream_position position;           ///< events the caller has received
    bool use_longest_limits = false; ///< timed out once: use the longest limits
    std::string
        unfinished_run_address; ///< engine that may still run it; empty: none

    bool is_service() const
    {
        return this->target.kind == route_kind::service;
    }

    request_profile profile() const
    {
        return {
            this->info.target,
            this->stream,
            this->info.prompt_bytes,
            this->info.max_tokens};
    }

    /// Whether another run may continue the stream that the caller has begun to
    /// receive.
    bool resumable() const
    {
        return !this->is_service() && this->info.repeatable &&
               this->position.resumable();
    }
};

/// Fills in `info`, `claim` and `stream` from the other members.
///
/// A call with an idempotency key is claimed and runs at most once. So does a
/// call to a service that is not repeatable. If such a call has no key, its
/// request id is used as the key if the caller sent one; otherwise the call has
/// no claim and is not sent again once it may have run.
/// @param call  The call with its body.
/// @param table The newest routing table. If it is null, services count as not
///              repeatable.
/// @return      `call_problem` with 400 for a malformed body.
boost::leaf::result<void>
describe_call(prepared_call& call, const routing_table* table);

} // namespace roseworks::edge
