#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/dispatcher.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace roseworks::platform
{

/// LEAF error object: JSON of the platform that isn't what it should be.
struct message_error
{
    std::string what;
};

/// @return The JSON of an order, for `POST /v1/engine/orders`.
std::string write_order(const engine_order& order);

/** Read an engine's state. Fields that are missing count as 0 or empty; a
    resident of an unknown state is an error, as memory hangs on it.

    @param body   JSON; may be hostile.
    @param engine Whose it is.
    @return       The report, or a `message_error`.
*/
boost::leaf::result<engine_report>
read_report(std::string_view body, engine_id engine);

/** Read an engine's cache events. An event without a number, or whose prefix
    isn't 16 hex digits, is left out, as if it were lost.

    @param body JSON; may be hostile.
    @return     `next` and `events` of the report, or a `message_error`.
*/
boost::leaf::result<cache_report> read_cache_report(std::string_view body);

/** Read the platform's VM list. A VM of an unknown role or state is an error.

    @param body JSON; may be hostile.
    @return     The VMs, or a `message_error`.
*/
boost::leaf::result<std::vector<vm_entry>> read_vm_list(std::string_view body);

/// @return The `error` field of a refusal, empty when there is none.
std::string read_error_word(std::string_view body);

} // namespace roseworks::platform
