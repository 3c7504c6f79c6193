#pragma once

#include <roseworks/dispatcher.hpp>

#include <functional>
#include <variant>

namespace roseworks
{

/** Port: where the traffic threads hand their requests to admission.

    May be called from any thread. A submitted request gets replies until it is
    final: each is a grant, which asks for one `finished` or `abandon`, or a
    refusal, which is final. After `abandon` a reply already on its way may
    still arrive and has to be ignored.
*/
class dispatch_port
{
public:
    using reply = std::variant<grant, refusal>;

    /// Takes one reply. Called from any thread, also from within `submit` and
    /// `finished`; must not block: it posts the reply to its own executor.
    using reply_handler = std::function<void(const reply&)>;

    virtual ~dispatch_port() = default;

    /// A request has arrived.
    /// @param info    what admission needs to know of it.
    /// @param handler takes its replies.
    /// @return        its ticket.
    virtual ticket submit(request_info info, reply_handler handler) = 0;

    /// An attempt has ended; see `dispatcher::finished`.
    /// @param request the granted ticket.
    /// @param result  how the attempt ended.
    /// @return        whether the request is final; if not, a reply follows.
    virtual dispatcher::finish
    finished(ticket request, const attempt_result& result) = 0;

    /// Forgets a request of which nothing was sent; frees its slot.
    virtual void abandon(ticket request) = 0;

    /// Refuses what waits and what comes as draining; running attempts go on.
    virtual void drain() = 0;
};

} // namespace roseworks
