#pragma once

#include "core/quota/counted_limits.hpp"
#include "core/quota/quota_words.hpp"
#include "core/quota/token_bucket.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks
{

/// How a router learns whether a request is within its organisation's limit.
enum class quota_way : std::uint8_t
{
    accountant, ///< one router counts for all that hear it
    own_share   ///< each router has an equal part of each limit
};

/// What became of a request's draw.
struct quota_decision
{
    std::uint64_t id = 0;
    bool is_allowed = false;
    duration wait{};        ///< allowed: before the request may be sent
    duration retry_after{}; ///< refused: when the limit has room for it
};

/// A word to one accountant.
struct quota_message
{
    std::string to; ///< its name
    quota_ask ask;
};

/** A router's side of limits that are counted over all routers.

    Asks the first accountant of the list that answers, and decides by the
    router's own part of the limit while none does. Then each router uses its
    part of the rate, and at the beginning its part of what is given beside the
    limits, so that routers that are all cut off keep the sum, too.

    Pure: time comes in, words and decisions go out.
*/
class quota_client
{
public:
    struct options
    {
        std::string router;
        quota_bounds bounds;
        quota_way way = quota_way::accountant;
        /// An ask without an answer is sent again: a lost packet.
        duration resend = std::chrono::milliseconds(40);
        /// Another accountant is asked.
        duration next_accountant = std::chrono::milliseconds(80);
        /// The own part decides.
        duration give_up = std::chrono::milliseconds(300);
        std::uint64_t seed = 1; ///< of the first draw's id
    };

    explicit quota_client(options settings);

    void limits_changed(counted_limits all);

    /// @param names Routers that may count, the preferred one first; the same
    ///              on each router.
    /// @param known All routers.
    void accountants_known(std::vector<std::string> names, std::size_t known);

    /// Asks for a request's tokens.
    /// @return The draw's id; its decision follows.
    std::uint64_t draw(
        std::string_view organisation,
        double amount,
        duration longest_wait,
        instant now);

    /// A request that had its tokens set aside didn't run.
    void give_back(std::string_view organisation, double amount, instant now);

    void heard(const quota_answer& answer, instant now);

    void tick(instant now);

    /// @return When `tick` has work next.
    instant next_tick() const
    {
        return this->due;
    }

    std::vector<quota_message> take_messages();
    std::vector<quota_decision> take_decisions();

    /// @return The accountant that is asked; empty while none answers.
    std::string_view accountant() const;

private:
    struct pending
    {
        quota_draw draw;
        instant asked;
        instant sent;
        std::optional<quota_result> refused; ///< by one that may know little
    };

    struct candidate
    {
        std::string name;
        bool is_silent = false;
        instant since; ///< it answers without a gap, and counts this router
        instant counts_from = instant::max(); ///< this router
        std::optional<instant> answered;      ///< last
        std::optional<instant> asked;         ///< first ask without an answer
        instant told;                         ///< last word to it
    };

    using decide = void (quota_client::*)(std::uint64_t id, instant now);

    /// @return What a backend server named; 0 for other accounts.
    double named_limit(std::string_view account) const;
    void ask_accountant(std::uint64_t id, instant now);
    void use_own_part(std::uint64_t id, instant now);
    /// @return This router's part of each limit; nothing before it was told
    ///         how many share them.
    double own_part() const;
    /// @return What this router may use by itself now.
    usage_limit own_terms(const counted_limit& limit, instant now) const;
    void fill_own(instant now);
    /// @return Whether no accountant counts for this router.
    bool is_alone(instant now) const;
    /// @return Whether an accountant has heard this router, and so the others,
    ///         long enough to know its part of the limits.
    bool is_settled(const candidate& one, instant now) const;
    void choose(instant now);
    /// A contact has begun: from when on it counts this router.
    void let_count(candidate& one, instant now);
    void say(candidate& to, std::vector<quota_draw> draws, instant now);
    void settle(const quota_result& result);
    void find_silent(instant now);
    void repeat_draws(instant now);
    void say_alive(instant now);
    void due_by(instant when);

    options settings;
    decide way;
    counted_limits limits;
    std::unordered_map<std::string, token_bucket> own; ///< by organisation
    std::vector<candidate> candidates;
    std::size_t current = 0;       ///< candidate; beyond the last: none answers
    std::size_t known_routers = 0; ///< 0: not told yet
    std::map<std::uint64_t, pending> waiting;
    std::vector<quota_return> returns;
    std::vector<quota_message> messages;
    std::vector<quota_decision> decisions;
    std::uint64_t last_id;
    std::optional<instant> overlapped; ///< two counted this router, last
    instant own_filled;
    instant ticked;
    instant due;
};

} // namespace roseworks
