#pragma once

#include "core/quota/global_limits.hpp"
#include "core/quota/quota_messages.hpp"
#include "core/quota/sliding_count.hpp"
#include "core/quota/token_bucket.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks
{

/// How a router decides whether a request is within its organisation's limit.
enum class quota_mode : std::uint8_t
{
    accountant, ///< one router counts for all that report to it
    local_share ///< each router enforces an equal share locally
};

/// Decision on a request's draw.
struct quota_decision
{
    std::uint64_t id = 0;
    bool is_allowed = false;
    duration wait{};        ///< allowed: time until the request may be sent
    duration retry_after{}; ///< refused: time until a retry may succeed
};

/// An outgoing message to one accountant.
struct quota_message
{
    std::string to; ///< name of the accountant
    quota_query query;
};

/** Client side of the limits that apply to all routers together.

    Asks the first accountant of the list that answers. While none answers, it
    decides locally by this router's share of the limit: its share of the rate,
    and at first its share of the slack. So the sum holds also when all routers
    are cut off from each other.

    The class does no I/O and reads no clock: callers pass in the time and
    collect messages and decisions.
*/
class quota_client
{
public:
    struct options
    {
        std::string router;
        quota_bounds bounds;
        quota_mode mode = quota_mode::accountant;
        /// Resend a draw that got no answer, as packets may be lost.
        duration resend_interval = std::chrono::milliseconds(40);
        /// Fail over from an accountant that has not answered for this long.
        duration failover_timeout = std::chrono::milliseconds(80);
        /// Decide a draw locally after this long.
        duration decision_timeout = std::chrono::milliseconds(300);
        std::uint64_t seed = 1; ///< draw ids start after it
    };

    explicit quota_client(options settings);

    void set_limits(global_limits all);

    /// @param names Routers that may act as accountant, in order of preference;
    ///              the same list on each router.
    /// @param known Number of all routers.
    void set_accountants(std::vector<std::string> names, std::size_t known);

    /// Requests tokens for one request.
    /// @param order Its id is ignored, and its objective is relative to `now`.
    /// @return The draw's id. Its decision is returned by `take_decisions`.
    std::uint64_t draw(
        std::string_view account,
        double amount,
        duration max_wait,
        instant now,
        const draw_order& order = {});

    /// Counts a request that arrived at this router. It raises the account's
    /// limit if that depends on the number of requests.
    void count_request(std::string_view account, instant now);

    /// A request that held a place at a backend server has ended.
    /// @param rejected The server had no room for it.
    void release_place(std::string_view account, bool rejected, instant now);

    /// Changes the order of the draw that waits for a place, if there is one.
    void reorder_place(
        std::string_view account, const draw_order& order, instant now);

    /// Refuses the draw that waits for a place, if there is one.
    void cancel_place(std::string_view account, instant now);

    /// Returns the tokens of a request that did not run.
    void return_tokens(std::string_view account, double amount, instant now);

    void handle_reply(const quota_reply& reply, instant now);

    void tick(instant now);

    /// @return When `tick` has work next.
    instant next_tick() const
    {
        return this->next_due;
    }

    std::vector<quota_message> take_messages();
    std::vector<quota_decision> take_decisions();

    /// @return The accountant in use; empty while none answers.
    std::string_view accountant() const;

private:
    struct pending_draw
    {
        quota_draw draw;
        draw_order order;
        instant created_at;
        instant last_sent_at;
        /// From an accountant that lacks data yet.
        std::optional<quota_result> provisional_refusal;
        /// When the accountant last confirmed that the draw waits there.
        std::optional<instant> queued_at;
        /// The latest refusal of a draw that waits and asks again.
        std::optional<quota_result> held_refusal;
        instant hold_until; ///< it asks again until then
    };

    /// The places that this router holds at one backend server.
    struct held_places
    {
        std::uint32_t held = 0;
        std::uint64_t pending_draw = 0;
        std::uint32_t rejections = 0;
        instant last_rejection;
        instant changed_at;
    };

    struct accountant_contact
    {
        std::string name;
        bool is_unresponsive = false;
        instant contact_since; ///< start of the uninterrupted contact
        /// It counts this router from then on.
        instant counted_from = instant::max();
        std::optional<instant> last_reply_at;
        /// Time of the first message without an answer.
        std::optional<instant> unanswered_since;
        instant last_message_at;
    };

    using decision_method =
        void (quota_client::*)(std::uint64_t id, instant now);

    /// @return The rate limit or the slots of a backend server; 0 for other
    ///         accounts.
    double announced_limit(std::string_view account) const;
    /// @return What this router holds, as far as it fits into a message; what
    ///         changed recently comes first.
    std::vector<place_usage> place_usages(instant now);
    place_usage
    usage_of(const std::string& account, const held_places& one, instant now);
    /// Notes that the places held under an account have changed.
    void changed(const std::string& account, held_places& one, instant now);
    void decided(const quota_draw& draw, bool is_allowed, instant now);
    /// @return Whether a draw without a result has waited for too long.
    bool has_timed_out(const pending_draw& entry, instant now) const;
    void ask_accountant(std::uint64_t id, instant now);
    void decide_locally(std::uint64_t id, instant now);
    /// @return This router's fraction of each limit; 0 until the number of
    ///         routers is known.
    double own_fraction() const;
    /// @return Rate and burst that this router may use locally now.
    usage_limit local_limit(
        const std::string& account,
        const global_limit& limit,
        instant now) const;
    /// @return The counts that raise limits, without those that are 0.
    std::vector<request_count> request_counts(instant now) const;
    void refill_local_buckets(instant now);
    /// @return Whether no accountant is in contact with this router.
    bool has_no_accountant(instant now) const;
    /// @return Whether an accountant has been in contact with this router, and
    ///         so with the others, long enough to know its share of the limits.
    bool is_ready(const accountant_contact& contact, instant now) const;
    void choose_accountant(instant now);
    /// Starts a contact: sets when the accountant begins to count this router.
    void start_contact(accountant_contact& contact, instant now);
    /// Keeps a refused draw, to ask for it again.
    /// @return Whether the draw can wait.
    bool hold(const quota_result& refusal, instant now);
    /// @return The interval between two queries about a draw.
    duration ask_interval(const pending_draw& entry) const;
    void send_query(
        accountant_contact& to, std::vector<quota_draw> draws, instant now);
    /// @return The order of those draws that don't have the default one.
    std::vector<draw_order>
    orders_of(std::span<const quota_draw> draws, instant now) const;
    void resolve(const quota_result& result, instant now);
    void detect_unresponsive(instant now);
    void resend_draws(instant now);
    /// @return Whether a refused draw asks again now. Others that wait then do
    ///         so, too, to save messages.
    bool is_held_draw_due(instant now) const;
    /// Sends draws that got no answer, or that wait, in one or more messages.
    void send_again(std::vector<quota_draw> draws, instant now);
    void send_keepalives(instant now);
    void schedule_by(instant when);

    options settings;
    decision_method method;
    global_limits limits;
    std::unordered_map<std::string, token_bucket> local_buckets; ///< by account
    /// Requests that raise limits, by account.
    std::map<std::string, sliding_count, std::less<>> requests;
    std::map<std::string, held_places, std::less<>> places; ///< by account
    std::vector<std::string> unreported_places; ///< accounts that changed
    std::string last_reported_place; ///< account; repeats continue after it
    std::vector<accountant_contact> contacts;
    /// Index in `contacts`; the size of `contacts` when none answers.
    std::size_t current_index = 0;
    std::size_t router_count = 0; ///< 0: not known yet
    std::map<std::uint64_t, pending_draw> waiting;
    std::size_t held_count = 0; ///< draws in `waiting` that were refused
    std::vector<quota_return> returns;
    std::vector<quota_message> messages;
    std::vector<quota_decision> decisions;
    std::uint64_t last_id;
    std::uint64_t message_count = 0; ///< queries sent so far
    /// When two accountants last counted this router at once.
    std::optional<instant> last_overlap;
    instant last_local_refill;
    instant last_tick;
    instant next_due;
};

} // namespace roseworks
