#pragma once

#include "core/admission/queue_item.hpp"

#include <cstddef>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace roseworks::detail
{

/** Waiting requests of one priority class, shared fairly between callers.

    Uses start-time fair queueing. Each caller has a start tag in virtual time,
    which advances by cost / weight when the caller is served. The caller with
    the lowest tag goes next. A caller that was idle restarts at the virtual
    time of the class, so it gains nothing by idling. Among the requests of one
    caller, the earliest deadline goes first. Long prompts are stored separately
    so that they can be skipped.

    Operations are logarithmic in the number of waiting requests and callers,
    except those that visit all of them.

    Advisory: an error here cannot break a guarantee.
*/
class fair_share
{
public:
    void push(const queue_item& item);

    /// Removes a queued request without charging its caller.
    void erase(const queue_item& item);

    /// @param allow_long Whether a long prompt may be chosen.
    /// @return           The next request; empty if none may be chosen.
    std::optional<ticket> next(bool allow_long) const;

    /// Charges a caller for a request that was served.
    void charge(const queue_item& item);

    /** Estimates how many requests of this class go before the given one.

        @param item A request, which need not be queued.
        @return     The request's position in its caller's queue, scaled by the
                    ratio of all active weights to the caller's weight. At most
                    the number of requests that can go first.
    */
    std::size_t ahead_of(const queue_item& item) const;

    /// Called for each request with the estimated number of requests before it.
    /// @return Whether the request keeps waiting.
    using visitor = std::function<bool(ticket, std::size_t ahead)>;

    /** Visits each request, by caller and then by deadline.

        @param visit Callback. A request for which it returns false is not
                     counted in the estimates of later requests.
        @return      The requests for which it returned false. They are not
                     removed.
    */
    std::vector<ticket> visit_waiting(const visitor& visit) const;

    /// @return The request with the latest deadline, of the caller with the
    ///         most waiting requests.
    std::optional<ticket> displacement_candidate() const;

    /// @return The earliest deadline; empty if no request waits.
    std::optional<instant> earliest_deadline() const;

    std::size_t size() const
    {
        return this->count;
    }

    std::size_t short_prompt_count() const
    {
        return this->short_count;
    }

private:
    using key = std::pair<instant, std::uint64_t>;
    using ordered_keys = __gnu_pbds::tree<
        key,
        __gnu_pbds::null_type,
        std::less<key>,
        __gnu_pbds::rb_tree_tag,
        __gnu_pbds::tree_order_statistics_node_update>;

    struct caller_queue
    {
        std::uint64_t start_tag = 0;
        std::uint16_t weight = 1;
        ordered_keys short_items;
        ordered_keys long_items;

        std::size_t size() const
        {
            return this->short_items.size() + this->long_items.size();
        }
    };

    std::size_t estimate_ahead(
        std::size_t position,
        std::size_t own_count,
        const caller_queue& requester_queue) const;
    void forget_idle();

    std::map<caller_number, caller_queue> caller_queues;
    std::set<std::pair<std::uint64_t, caller_number>> active;
    std::uint64_t virtual_time = 0;
    std::uint64_t active_weight = 0;
    std::size_t count = 0;
    std::size_t short_count = 0;
};

} // namespace roseworks::detail
