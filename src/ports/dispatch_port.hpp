#pragma once

#include "core/pacing/server_notice.hpp"

#include <roseworks/dispatcher.hpp>

#include <functional>
#include <optional>
#include <string_view>
#include <variant>

namespace roseworks
{

/** Port: the interface through which traffic threads submit requests to
    admission.

    Thread-safe. A submitted request gets replies until it is final. Each reply
    is a grant, after which the caller must call `finished` or `abandon` once,
    or a refusal, which is final. A reply that was posted before `abandon` may
    arrive after it and has to be ignored.
*/
class dispatch_port
{
public:
    using reply = std::variant<grant, refusal>;

    /// Receives one reply. Called from any thread, also from within `submit`
    /// and `finished`. Must not block: implementations post the reply to their
    /// own executor.
    using reply_handler = std::function<void(const reply&)>;

    virtual ~dispatch_port() = default;

    /// Submits a request.
    /// @param info    the properties on which admission decides.
    /// @param handler receives the replies.
    /// @return        a ticket that identifies the request.
    virtual ticket submit(request_info info, reply_handler handler) = 0;

    /// Reports the end of an attempt; see `dispatcher::finished`.
    /// @param request ticket of the granted request.
    /// @param result  how the attempt ended.
    /// @return        whether the request is final; if not, a reply follows.
    virtual dispatcher::finish
    finished(ticket request, const attempt_result& result) = 0;

    /// Starts a second attempt beside a granted one; see `dispatcher::hedge`.
    /// @param handler Receives the replies if the new ticket is continued.
    /// @return        Empty: no second attempt.
    virtual std::optional<grant> hedge(ticket, reply_handler)
    {
        return std::nullopt;
    }

    /// A backend server stated something about itself in a response. It counts
    /// for all later requests, from the return of this function on.
    /// @param place    The server, as a grant names it.
    /// @param instance Its id.
    virtual void server_stated(
        const server_place& place,
        std::string_view instance,
        const server_notice& notice)
    {
        static_cast<void>(place);
        static_cast<void>(instance);
        static_cast<void>(notice);
    }

    /// @return Whether a granted request may still be sent to the server. If
    ///         not, the attempt ends as `withheld`.
    virtual bool takes_requests(const server_place&, std::string_view) const
    {
        return true;
    }

    /// Removes a request of which nothing was sent, and frees its slot.
    virtual void abandon(ticket request) = 0;

    /// Refuses all queued and all new requests with the reason "draining".
    /// Running attempts continue.
    virtual void drain() = 0;
};

} // namespace roseworks
