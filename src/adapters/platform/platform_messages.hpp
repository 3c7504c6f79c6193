#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/dispatcher.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace roseworks::platform
{

/// LEAF error object: a malformed JSON message of the platform.
struct message_error
{
    std::string what;
};

/// @return The JSON body of an order for `POST /v1/engine/orders`.
std::string write_order(const engine_order& order);

/** Reads an engine's state. Missing fields are read as 0 or empty. A resident
    with an unknown state is an error, because it occupies memory.

    @param body   JSON; untrusted.
    @param engine The engine that sent it.
    @return       The report, or a `message_error`.
*/
boost::leaf::result<engine_report>
read_report(std::string_view body, engine_id engine);

/** Reads an engine's cache events. An event without a number, or with a prefix
    other than 16 hex digits, is skipped and thus treated as lost.

    @param body JSON; untrusted.
    @return     A report with `next` and `events` set, or a `message_error`.
*/
boost::leaf::result<cache_report> read_cache_report(std::string_view body);

/** Reads the platform's VM list. An unknown role or state is an error.

    @param body JSON; untrusted.
    @return     The VMs, or a `message_error`.
*/
boost::leaf::result<std::vector<vm_entry>> read_vm_list(std::string_view body);

/// @return The `error` field of an error response, or empty if there is none.
std::string read_error_code(std::string_view body);

} // namespace roseworks::platform
