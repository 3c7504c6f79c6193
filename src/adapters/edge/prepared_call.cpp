#include "adapters/edge/prepared_call.hpp"

#include "adapters/edge/call_identity.hpp"
#include "adapters/edge/completion_body.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>

namespace roseworks::edge
{

namespace leaf = boost::leaf;

namespace
{

/// The priority that the caller requests, capped at the highest it may use.
priority
effective_priority(const prepared_call& call, const routing_table* table)
{
    const caller_spec* const spec =
        table ? table->find_caller(call.headers.caller) : nullptr;
    const priority highest = spec ? spec->highest : caller_spec{}.highest;
    return std::max(call.headers.requested_priority.value_or(highest), highest);
}

bool service_is_repeatable(
    const prepared_call& call, const routing_table* table)
{
    const service_routes* const service =
        table ? table->find_service(call.target.service) : nullptr;
    return service && service->repeatable;
}

void decide_claim(prepared_call& call, const routing_table* table)
{
    const bool has_key = !call.headers.idempotency_key.empty();
    call.info.repeatable =
        !has_key && (!call.is_service() || service_is_repeatable(call, table));
    if (call.info.repeatable)
        return;
    // A service and a model may have the same name; the prefix separates them.
    const std::string target =
        (call.is_service() ? "service/" : "servable/") + call.info.target;
    claim_request request;
    if (has_key)
        request.key = make_claim_key(
            call.headers.caller, target, call.headers.idempotency_key);
    else if (call.has_caller_request_id)
        request.key = make_derived_claim_key(
            call.headers.caller, target, call.headers.request_id);
    else
        return;
    request.content = make_claim_content(
        boost::beast::http::to_string(call.method),
        call.target.path,
        call.body);
    if (has_key)
        request.issued = call.headers.key_issued;
    call.claim = request;
}

} // namespace

leaf::result<void>
describe_call(prepared_call& call, const routing_table* table)
{
    request_info& info = call.info;
    info.is_service = call.is_service();
    info.caller = call.headers.caller;
    info.asked = effective_priority(call, table);
    info.deadline = call.deadline;
    info.held_bytes = sizeof(prepared_call) + call.body.capacity();
    if (info.is_service)
    {
        info.target = call.target.service;
    }
    else
    {
        const bool chat = call.target.kind == route_kind::chat;
        BOOST_LEAF_AUTO(body, parse_completion_body(call.body, chat));
        info.target = body.model;
        info.prefix = body.prefix;
        info.prompt_bytes = body.prompt_bytes;
        info.max_tokens = body.max_tokens;
        call.stream = body.stream;
    }
    info.content = make_fingerprint(info.target, call.target.path, call.body);
    decide_claim(call, table);
    return {};
}

} // namespace roseworks::edge
