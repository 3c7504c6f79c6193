#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/record.hpp>

#include <functional>

namespace roseworks
{

/** Port: claims on idempotency keys, decided by the platform's log.

    Thread-safe. A call whose claim was granted must call `close` exactly once.
    Until then the claim stays open, and other callers have to assume that the
    request may be running.
*/
class claim_port
{
public:
    /// Receives the result of a claim, exactly once. Called from any thread;
    /// must not block.
    using result_handler = std::function<void(const claim_result&)>;

    virtual ~claim_port() = default;

    /// Claims a key before the call is sent. The handler is always called; if
    /// the claim timeout expires, with `unavailable`.
    /// @param request the key, and the content it is claimed for.
    /// @param handler receives the result.
    virtual void
    claim(const claim_request& request, result_handler handler) = 0;

    /// Reports the outcome of a granted claim. The implementation fills in the
    /// session.
    /// @param closing key, outcome, and the answer if it is small enough.
    virtual void close(claim_close closing) = 0;
};

} // namespace roseworks
