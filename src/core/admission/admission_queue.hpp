#pragma once

#include "core/admission/fair_share.hpp"

#include <array>
#include <unordered_map>

namespace roseworks::detail
{

/// Number of priority classes.
inline constexpr std::size_t class_count = 3;

/** Queue of the requests that wait for one target, in strict priority order
    with ageing.

    The highest waiting class goes first. `fair_share` orders the requests
    inside a class. A request that has waited for `ageing` competes one class
    higher, after twice that time two classes higher, and so on. One grant in
    `aged_grant_interval` goes to the oldest request whose aged class is at
    least as high as the highest waiting class. So no request starves, and a
    backlog of old batch requests takes at most that share from urgent ones.

    Advisory: an error here cannot break a guarantee.
*/
class admission_queue
{
public:
    /// One grant in this many may go to an aged request ahead of higher
    /// classes.
    static constexpr std::uint32_t aged_grant_interval = 4;

    /// Which requests may be chosen.
    struct filter
    {
        bool allow_batch = true;
        bool allow_long = true;
        /// If set, the requests of the chosen class and caller are ordered by
        /// rank, and within a rank by objective; those whose objective is
        /// earlier than this time go last.
        std::optional<instant> objective_from = std::nullopt;
    };

    /// A chosen request. It stays queued unless passed to `take`.
    struct choice
    {
        queue_item item;
        bool aged = false; ///< chosen by age, not by class
    };

    explicit admission_queue(duration ageing_interval);

    void push(const queue_item& item);

    /// @return Whether the request was queued here.
    bool erase(ticket id);

    /// @return The next request that the filter allows; empty if there is none.
    std::optional<choice> next(const filter& allowed, instant now) const;

    /// @param objective_from As in `filter`.
    /// @return The first requests in the order of `filter::objective_from`, of
    ///         all classes and callers; at most `count`.
    std::vector<queue_item>
    first_by_objective(std::size_t count, instant objective_from) const;

    /// Removes a chosen request and charges its caller.
    void take(const choice& chosen);

    /// @return Estimated number of requests that go before this one.
    std::size_t ahead_of(const queue_item& item) const;

    /// Called for each request with the estimated number of requests before it.
    /// @return Whether the request keeps waiting.
    using visitor =
        std::function<bool(const queue_item& item, std::size_t ahead)>;

    /** Visits each request, highest class first.

        @return The requests for which the callback returned false. They are not
                removed.
    */
    std::vector<ticket> visit_waiting(const visitor& visit) const;

    /// @return The request that a request of the given class may displace. It
    ///         belongs to the lowest waiting class, which must be lower than
    ///         the given one, and to the caller with the most requests there.
    ///         Of these it has the latest deadline. Empty if there is none.
    std::optional<queue_item> displacement_candidate(priority below) const;

    /// @return The highest waiting class; empty if no request waits.
    std::optional<priority> best_class() const;

    std::optional<instant> earliest_deadline() const;

    std::size_t size() const
    {
        return this->items.size();
    }

    bool empty() const
    {
        return this->items.empty();
    }

    std::size_t size(priority level) const
    {
        return this->classes[index(level)].size();
    }

    /// @return Number of waiting requests with short prompts. Batch requests
    ///         are counted only if `allow_batch` is set.
    std::size_t short_prompt_count(bool allow_batch) const;

private:
    static std::size_t index(priority level)
    {
        return static_cast<std::size_t>(level);
    }

    /// @return The request that goes before `first`, or `first` itself.
    const queue_item&
    first_by_objective(const queue_item& first, const filter& allowed) const;
    std::optional<queue_item>
    aged(const filter& allowed, std::size_t best, instant now) const;

    duration ageing;
    std::array<fair_share, class_count> classes;
    std::array<std::set<std::pair<instant, std::uint64_t>>, class_count>
        arrivals;
    std::unordered_map<ticket, queue_item> items;
    std::uint32_t grants_since_aged = 0;
};

} // namespace roseworks::detail
