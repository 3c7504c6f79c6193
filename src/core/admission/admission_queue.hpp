#pragma once

#include "core/admission/fair_share.hpp"

#include <array>
#include <unordered_map>

namespace roseworks::detail
{

/// Number of priority classes.
inline constexpr std::size_t class_count = 3;

/** Requests that wait for one target: strict class order with ageing.

    The best class that waits goes first, by `fair_share`. A request that has
    waited for `ageing` competes one class higher, after twice that two higher,
    and so on. One grant in `aged_share` goes to the oldest request whose aged
    class is at least as good as the best that waits: nothing starves, and a
    backlog of old batch work takes no more than that share from urgent work.

    Hint.
*/
class admission_queue
{
public:
    /// One grant in this many may go to aged work ahead of better classes.
    static constexpr std::uint32_t aged_share = 4;

    /// What may be chosen just now.
    struct filter
    {
        bool allow_batch = true;
        bool allow_long = true;
    };

    /// A choice; `take` it, or leave it.
    struct choice
    {
        queue_item item;
        bool aged = false; ///< chosen by age, not by class
    };

    explicit admission_queue(duration wait_worth_a_class);

    void push(const queue_item& item);

    /// @return Whether it waited here.
    bool erase(ticket id);

    /// @return Who goes next under the filter, empty when nobody may.
    std::optional<choice> next(const filter& allowed, instant now) const;

    /// Removes a choice and charges its caller.
    void take(const choice& chosen);

    /// @return Estimate of how many go before this request.
    std::size_t ahead_of(const queue_item& item) const;

    /// Called for each request with the estimate of those before it.
    /// @return Whether the request goes on waiting.
    using examiner =
        std::function<bool(const queue_item& item, std::size_t ahead)>;

    /** Examine each request, best class first.

        @return Those that don't go on waiting; they aren't removed yet.
    */
    std::vector<ticket> examine_all(const examiner& examine) const;

    /// @return Whom work of this class may displace: the worst class that
    ///         waits, when it is worse; its longest line; its last deadline.
    std::optional<queue_item> least_wanted(priority below) const;

    /// @return The best class that waits, empty when nobody does.
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

    /// @return Short prompts that wait, batch work only when it is allowed.
    std::size_t short_size(bool allow_batch) const;

private:
    static std::size_t index(priority level)
    {
        return static_cast<std::size_t>(level);
    }

    std::optional<queue_item>
    aged(const filter& allowed, std::size_t best, instant now) const;

    duration ageing;
    std::array<fair_share, class_count> classes;
    std::array<std::set<std::pair<instant, std::uint64_t>>, class_count>
        arrivals;
    std::unordered_map<ticket, queue_item> items;
    std::uint32_t since_aged = 0;
};

} // namespace roseworks::detail
