#pragma once

#include "tools/load/call_result.hpp"
#include "tools/load/planned_call.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace roseworks::tools
{

/** Send one call on a connection of its own and check its answer.

    @param server  The router.
    @param call    What to send; outlives the coroutine.
    @param planned When it should have been sent.
    @param stream  Whether to ask for server-sent events.
    @return        What became of it.
*/
boost::asio::awaitable<call_result> send_completion(
    endpoint server,
    const planned_call& call,
    std::chrono::steady_clock::time_point planned,
    bool stream);

/** Check that an answer is the whole one to this call's prompt, as the stand-in
    engines answer (see standins/README.md).

    @param body   The body: JSON or server-sent events.
    @param call   The call.
    @param stream Whether it was asked for as events.
*/
bool is_whole_answer(
    const std::string& body, const planned_call& call, bool stream);

} // namespace roseworks::tools
