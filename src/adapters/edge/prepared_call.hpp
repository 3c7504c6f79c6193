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

/// A checked call, ready for admission.
struct prepared_call
{
    request_target target;
    call_headers headers; ///< with a request id, the caller's or the router's
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string content_type;
    std::string body;
    unsigned version = 11;
    bool keep_alive = true;
    bool id_from_caller = false;
    bool stream = false;
    instant arrived;
    instant deadline;

    request_info info;
    std::optional<claim_request> claim; ///< to be claimed before it is sent
    stream_position position;           ///< what of a stream the caller has
    bool patient = false;    ///< given up on once: the longest limits hold
    std::string run_left_at; ///< engine that may still run it; empty: none

    bool is_service() const
    {
        return this->target.kind == route_kind::service;
    }

    request_profile work() const
    {
        return {
            this->info.target,
            this->stream,
            this->info.prompt_bytes,
            this->info.max_tokens};
    }

    /// Whether the stream that its caller has a part of may be continued.
    bool resumable() const
    {
        return !this->is_service() && this->info.repeatable &&
               this->position.resumable();
    }
};

/// Fills `info`, `claim` and `stream` from the rest.
///
/// A call with an idempotency key runs at most once and is claimed. So is a
/// call to a service that isn't repeatable; without a key its request id
/// stands for it when the caller sent one, and else it is attempted once
/// without a claim.
/// @param call  the call with its body.
/// @param table the newest routing table, may be null: then a service counts
///              as not repeatable.
/// @return      nothing; `call_problem` with 400 for a malformed body.
boost::leaf::result<void>
describe_call(prepared_call& call, const routing_table* table);

} // namespace roseworks::edge
