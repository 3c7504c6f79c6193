#pragma once

#include "core/quota/global_limits.hpp"
#include "core/quota/place_counter.hpp"
#include "core/quota/quota_messages.hpp"
#include "core/quota/token_bucket.hpp"
#include "core/quota/urgency_shares.hpp"

#include <roseworks/instant.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace roseworks
{

/** Enforces usage limits for the routers that report to it.

    Load pattern: one organisation sends many times its limit to all routers at
    once. Its requests within the limit must still be served.

    Each router reports to one accountant. An accountant grants the share of
    each limit that belongs to its routers, out of all known routers. So the
    grants of two concurrent accountants, and of routers without an accountant,
    add up to the limit. Buckets start empty because earlier usage isn't known.
*/
class quota_accountant
{
public:
    /// How an organisation's limit goes to its requests.
    struct order_options
    {
        /// While it asks for more than its limit, urgent requests go first.
        bool by_urgency = false;
        std::uint64_t seed = 1; ///< of the jitter on the times of refusals
    };

    quota_accountant(std::string own_name, quota_bounds bounds);
    quota_accountant(
        std::string own_name, quota_bounds bounds, order_options order);

    /// Replaces the limits in force.
    void set_limits(const global_limits& all, instant now);

    /// @param count Number of routers that ever announced themselves.
    void set_router_count(std::size_t count);

    /// Processes a message of a router.
    quota_reply handle_query(const quota_query& query, instant now);

    /// A reply that isn't the answer to a query: a draw that was queued has
    /// been allowed.
    struct late_reply
    {
        std::string router;
        quota_reply reply;
    };

    /// @return The late replies since the last call.
    std::vector<late_reply> take_late_replies()
    {
        return std::exchange(this->late_replies, {});
    }

    /// Refills the buckets; to be called at least every 100 ms.
    void tick(instant now);

    /// What was allowed and refused to one class of requests, in total.
    /// Repeats of a refused draw are not counted.
    struct class_totals
    {
        double used = 0; ///< returned tokens included
        double refused = 0;
    };

    /// The order of an organisation's requests.
    struct urgency_order
    {
        urgency_shares shares;
        std::array<class_totals, urgency::class_count> totals{};
    };

    /// State of one account; for metrics and logs.
    struct account
    {
        global_limit limit;
        token_bucket bucket;
        /// Requests in the limit's window, over all routers that report.
        double requests = 0;
        double used = 0;                     ///< taken and not returned, total
        double refused = 0;                  ///< total
        std::optional<place_counter> places; ///< set if the limit has slots
        instant last_draw;
        /// Set for an organisation if its requests are ordered.
        std::optional<urgency_order> order;
    };

    const std::map<std::string, account, std::less<>>& accounts() const
    {
        return this->accounts_by_name;
    }

    /// @return The fraction of all routers that report to this accountant.
    double share() const
    {
        return this->active_fraction;
    }

private:
    struct router
    {
        instant contact_until;
        /// Another accountant counts it until then.
        instant counted_from = instant::max();
        /// Latest allowed draws, newest first.
        std::deque<quota_result> recent_results;
        std::vector<request_count> request_counts; ///< as last reported
        std::uint64_t run = 0;                     ///< of the latest message
        std::uint64_t sequence = 0;                ///< of the latest message

        bool is_active(instant now) const
        {
            return this->contact_until > now && this->counted_from <= now;
        }
    };

    quota_result evaluate(
        const quota_query& query,
        const quota_draw& draw,
        router& from,
        instant now);
    /// Takes a draw's tokens from an account's bucket.
    quota_result draw_tokens(const quota_draw& draw, account& entry) const;
    /// As `draw_tokens`, for an account whose requests are ordered.
    quota_result draw_in_order(
        const quota_query& query,
        const quota_draw& draw,
        account& entry,
        instant now) const;
    quota_result draw_place(
        place_counter& places,
        std::string_view router,
        const quota_draw& draw,
        const draw_order& order,
        instant now);
    void remember(router& from, const quota_result& result);
    void report_usages(const quota_query& query, instant now);
    void grant_waiting(place_counter& places, instant now);
    void refill_places(instant now);
    /// @return Null for an account without a limit.
    account* find_account(const quota_draw& draw);
    /// Counts the places of a server, for the routers that report.
    void add_places(account& entry, double slots) const;
    void apply_return(const quota_return& returned);
    void refill_buckets(instant now);
    /// @return The sums of the reported requests, by account.
    std::map<std::string_view, double> sum_requests(instant now) const;
    /// @return What the routers that report may use of an account's limit.
    usage_limit granted_limit(const account& entry) const;

    std::string name;
    quota_bounds bounds;
    order_options order;
    std::map<std::string, account, std::less<>> accounts_by_name;
    std::unordered_map<std::string, router> routers;
    std::size_t known_routers = 0; ///< 0: not known yet
    double active_fraction = 0;
    instant last_refill;
    std::vector<late_reply> late_replies;
};

} // namespace roseworks
