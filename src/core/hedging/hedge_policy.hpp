#pragma once

#include "core/hedging/hedge_delays.hpp"
#include "core/hedging/request_class.hpp"

#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks
{

/// Why no hedge is sent for a request.
enum class hedge_limit : std::uint8_t
{
    none,           ///< a hedge may be sent
    not_repeatable, ///< the request may run at most once
    output_begun,   ///< an attempt has an answer, or the caller has a part
    attempts,       ///< the route allows no further attempt
    suspected,      ///< the request may have crashed servers
    samples,        ///< the usual latency isn't known
    rejections,     ///< the service rejected a request a short time ago
    no_server,      ///< no other server has a free slot
    shared_budget,  ///< `extra_share` of all routers, or no accountant
    retry_budget    ///< the retries of the service
};

/// The state of a request whose first attempt is running.
struct hedge_request
{
    request_class kind;
    std::string service;
    bool repeatable = false;
    /// The running attempt has produced a head or an event, or the caller has
    /// received a part of the answer from an earlier attempt.
    bool output_begun = false;
    bool suspected = false;     ///< of crashing servers
    std::uint32_t attempts = 0; ///< that may run the request, the running one
                                ///< included
    std::uint32_t max_attempts = 1; ///< of the route
};

/** Decides whether and when a second attempt of a request is sent.

    Failure: an overloaded service answers late, each late answer causes a
    second request, and these add to the overload. So no hedge is sent within
    `rejection_pause` after the service rejected a request, or to a server
    without a free slot. The budgets that all routers share are drawn after
    `check` has allowed a hedge.

    No I/O and no clock. Hint: stale state can't cause a second run of a request
    that isn't repeatable.
*/
class hedge_policy
{
public:
    /// Time without hedges after a rejection.
    static constexpr duration rejection_pause = std::chrono::seconds(1);

    /// Services whose latest rejection is known; the oldest one is forgotten.
    static constexpr std::size_t max_services = 256;

    /// @param extra_share Share of a service's requests; 0: no hedges.
    explicit hedge_policy(double extra_share);

    bool is_enabled() const
    {
        return this->extra_share > 0;
    }

    /// Adds a sample; see `hedge_delays::add`.
    void output_began(const request_class& of, duration latency, instant now);

    /// A server of the service didn't run a request for lack of capacity.
    void rejected(std::string_view service, instant now);

    struct plan
    {
        hedge_limit refused_by = hedge_limit::none;
        duration delay{}; ///< from the sending of the first attempt
    };

    /// Decides when the first attempt is sent.
    plan plan_for(const hedge_request& request, instant now) const;

    /// Decides again when the delay has passed.
    /// @param has_server Whether another server has a free slot.
    hedge_limit
    check(const hedge_request& request, bool has_server, instant now) const;

private:
    static hedge_limit limit_of(const hedge_request& request);

    double extra_share;
    hedge_delays delays;
    std::map<std::string, instant, std::less<>> rejections; ///< latest
};

} // namespace roseworks
