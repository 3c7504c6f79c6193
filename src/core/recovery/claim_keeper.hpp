#pragma once

#include "core/recovery/control_context.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/record.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace roseworks::detail
{

/** Claims idempotency keys for this router's calls.

    A claim is granted only when this router's own `claim_open` was folded as
   the winner. When the answer is given up before that, the call doesn't run: a
    record of it that is folded later is closed as `not_run` at once, so that
   the key can be claimed anew.
*/
class claim_keeper
{
public:
    explicit claim_keeper(duration timeout);

    /// A call asks for its key; the answer is a `claim_result`.
    void claim(const control_context& context, const claim_request& asked);

    /// A call that was granted its key has ended.
    void close(const control_context& context, claim_close what);

    /// A record was folded.
    void folded(const control_context& context, const fold_event& event);

    /// Give up on what waits too long, or at all when the log is away.
    void step(const control_context& context);

    instant next_tick() const;

private:
    struct waiting_claim
    {
        std::uint64_t sequence = 0;
        claim_content content = 0;
        instant give_up{};
        bool abandoned = false; ///< answered `unavailable`
    };

    static void answer(
        const control_context& context,
        const claim_request& asked,
        claim_result::status status);
    void settle(
        const control_context& context, claim_key key, const fold_event& event);

    duration timeout;
    std::map<claim_key, waiting_claim> waiting;
};

} // namespace roseworks::detail
