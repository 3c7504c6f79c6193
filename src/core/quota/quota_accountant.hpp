#pragma once

#include "core/quota/counted_limits.hpp"
#include "core/quota/quota_words.hpp"
#include "core/quota/token_bucket.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace roseworks
{

/** Counts what organisations use, for the routers that it hears.

    Load pattern: one organisation sends many times its limit at all routers at
    once, and what it is owed has to go on unharmed.

    Each router hears one accountant. An accountant hands out the part of each
    limit that belongs to the routers it hears, of all that are known; so two
    accountants at once, or routers that none is heard by, add up to the limit.
    It begins with empty buckets: what was used before isn't known.
*/
class quota_accountant
{
public:
    quota_accountant(std::string own_name, quota_bounds bounds);

    /// Other limits are in force.
    void limits_changed(const counted_limits& all, instant now);

    /// @param count Routers that ever announced themselves.
    void routers_known(std::size_t count);

    /// A router's word.
    quota_answer heard(const quota_ask& ask, instant now);

    /// Time passes; to be called at least each 100 ms.
    void tick(instant now);

    /// What is known of one organisation; for metrics and logs.
    struct account
    {
        usage_limit limit;
        token_bucket bucket;
        double used = 0;    ///< set aside and not returned, ever
        double refused = 0; ///< ever
    };

    const std::map<std::string, account, std::less<>>& accounts() const
    {
        return this->limited;
    }

    /// @return The part of the routers that it hears.
    double share() const
    {
        return this->part;
    }

private:
    struct router
    {
        instant heard_until;
        instant counts_from = instant::max(); ///< by another one until then
        std::deque<quota_result> answered;    ///< allowed last, newest first
    };

    quota_result settle(const quota_draw& draw, router& from);
    /// @return Null for one without a limit.
    account* find_account(const quota_draw& draw);
    void give_back(const quota_return& what);
    void advance(instant now);

    std::string name;
    quota_bounds bounds;
    std::map<std::string, account, std::less<>> limited;
    std::unordered_map<std::string, router> routers;
    std::size_t known_routers = 0; ///< 0: not told yet
    double part = 0;
    instant advanced;
};

} // namespace roseworks
