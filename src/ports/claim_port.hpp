#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/record.hpp>

#include <functional>

namespace roseworks
{

/** Port: claims on idempotency keys, decided by the platform's log.

    May be called from any thread. A call that was granted its claim owes one
    `close`; without it the claim stays open, which reads as "may be running".
*/
class claim_port
{
public:
    /// Takes the one result of a claim. Called from any thread; must not
    /// block.
    using result_handler = std::function<void(const claim_result&)>;

    virtual ~claim_port() = default;

    /// Claims a key before the call is sent. Always answered, at the latest
    /// when the claim timeout has run out, with `unavailable`.
    /// @param asked   the key, and the content it is claimed for.
    /// @param handler takes the result.
    virtual void claim(const claim_request& asked, result_handler handler) = 0;

    /// Tells the outcome of a granted claim. The session is filled in by the
    /// implementation.
    /// @param what key, outcome, and the answer when it is small enough.
    virtual void close(claim_close what) = 0;
};

} // namespace roseworks
