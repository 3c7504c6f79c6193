#pragma once

#include "core/quota/hedge_limits.hpp"
#include "core/quota/quota_accountant.hpp"
#include "core/quota/quota_client.hpp"
#include "core/quota/retry_limits.hpp"
#include "event_queue.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/** Simulates many routers that enforce the limit of one account. The simulated
    network loses, delays, duplicates and reorders messages. It runs in virtual
    time, and one seed determines the whole run. */
class quota_fleet
{
public:
    struct options
    {
        std::size_t routers = 300;
        /// The first routers; only they may be accountants.
        std::size_t accountant_candidates = 6;
        usage_limit limit{29'000, 29'000}; ///< of an organisation
        /// Limits the retries of a service instead of an organisation.
        std::optional<retry_allowance> retries;
        /// Limits the hedges of that service, too; requests draw these.
        double hedge_share = 0;
        double slack = 110'000;
        /// Further organisations with limits, by name.
        std::map<std::string, usage_limit> other_limits;
        /// The accountants serve urgent requests first.
        bool order_by_urgency = false;
        quota_mode mode = quota_mode::accountant;
        double loss = 0;      ///< probability per message
        double duplicate = 0; ///< probability per message
        duration shortest_delay = 500us;
        duration longest_delay = 3ms;
        std::uint64_t seed = 1;
    };

    /// Requests of one kind, and what became of them.
    struct load_kind
    {
        std::string name;
        std::string account = organisation_name;
        double per_second = 0;
        double amount = 0; ///< tokens of each request
        duration objective{};
        std::uint8_t urgency = 0;
        /// Callers repeat a refused request after this time, at another router,
        /// until it has been refused this often.
        duration retry_delay{};
        int max_refusals = 1;

        /// Requests of earlier rounds are not counted any more.
        int round = 0;
        /// Tokens of decided requests; a caller's retry is another request.
        double sent = 0;
        double served = 0; ///< tokens
        duration longest_wait{};
        duration shortest_retry_after = duration::max();
        duration longest_retry_after{};
    };

    /// The organisation with the limit of the options.
    static constexpr const char* organisation_name = "o1";

    explicit quota_fleet(options settings);

    /// Whether a message from one router reaches another now.
    std::function<bool(std::size_t from, std::size_t to)> reaches =
        [](std::size_t, std::size_t)
    {
        return true;
    };

    /// Advances the time without requests.
    void advance(duration length);

    /// Sends requests of `amount` tokens each at the given total rate, to
    /// random routers. Without weights, all routers are equally likely.
    void send(
        duration length,
        double tokens_per_second,
        double amount,
        duration max_wait,
        std::vector<double> weights = {});

    /// Sends requests of several kinds to random routers. Without weights, all
    /// routers are equally likely. If `order_by_urgency`
    /// is set, their draws carry a class.
    void send_kinds(
        duration length,
        std::vector<load_kind>& kinds,
        std::vector<double> weights = {});

    /// Restarts a router, which loses its state.
    void restart(std::size_t router);

    /// Restarts a router that can't read the list of routers any more.
    void restart_without_list(std::size_t router);

    /// Suspends a router for a time.
    void freeze(std::size_t router, duration length);

    /// Adds routers, known to all routers at once.
    void add(std::size_t count);

    void set_limit(usage_limit limit);

    /// @return The most tokens used within any window that begins at `since` or
    ///         later.
    double worst_window(
        std::string_view account = organisation_name,
        instant since = instant()) const;

    /// @return The most tokens that may be used within a window.
    double allowed() const;

    /// @return Served tokens, as a fraction of those that an ideal central
    ///         bucket would have allowed since the last `reset_counters`.
    double served_share() const
    {
        return this->served / this->ideal_served;
    }

    /// Resets the counters of `served_share`; the recorded uses stay.
    void reset_counters();

    std::size_t message_count() const
    {
        return this->messages_sent;
    }

    instant now() const
    {
        return this->queue.now();
    }

    std::size_t size() const
    {
        return this->routers.size();
    }

protected:
    /// Tokens that were used at a time.
    struct use
    {
        instant when;
        double amount;
        std::string account;
    };

    /// A request that waits for its decision.
    struct open_draw
    {
        double amount = 0;
        std::string account;
        load_kind* kind = nullptr;
        instant began;
        int refusals = 0;
        int round = 0; ///< of the kind
    };

    /// Calls an action at random times, as a Poisson process, and advances the
    /// time to the end. The routers are as likely as their weights say.
    void repeat_randomly(
        duration length,
        double per_second,
        std::vector<double> weights,
        const std::function<void(std::size_t router)>& action);
    /// Schedules an action on a router. It is delayed while the router is
    /// suspended, and dropped when the router was restarted.
    void
    schedule_on(std::size_t router, instant when, std::function<void()> action);
    /// Draws on a router, and uses the tokens as soon as it may.
    void draw(std::size_t router, double amount, duration max_wait);
    quota_client& client_of(std::size_t router)
    {
        return *this->routers[router].client;
    }
    const std::vector<use>& recorded_uses() const
    {
        return this->uses;
    }
    /// @return Whether something happens with this probability.
    bool happens(double probability);

private:
    struct router
    {
        std::string name;
        std::unique_ptr<quota_client> client;
        std::unique_ptr<quota_accountant> accountant;
        std::uint64_t run = 0;
        instant frozen_until;
        instant scheduled_tick = instant::max();
    };

    void start(router& target);
    void set_routers(router& target);
    void flush(std::size_t router);
    void schedule_tick(std::size_t router);
    void
    deliver(std::size_t from, std::size_t to, std::function<void()> action);
    void send_query(std::size_t from, const quota_message& message);
    void apply_decision(std::size_t router, const quota_decision& decision);
    /// Draws for a request of a kind.
    void draw_kind(std::size_t router, open_draw request);
    void finish_kind(
        std::size_t router,
        const open_draw& request,
        const quota_decision& decision);
    void handle_request(double amount, duration max_wait, std::size_t router);
    std::size_t index_of(const std::string& name) const;
    global_limits limits() const;
    std::string account() const;

    options settings;
    event_queue queue;
    std::mt19937_64 random;
    std::vector<router> routers;
    std::vector<std::string> candidate_names;                ///< of accountants
    std::unordered_map<std::uint64_t, open_draw> open_draws; ///< by id
    std::vector<use> uses;
    token_bucket ideal_bucket;
    instant ideal_refilled_at;
    double ideal_served = 0;
    double served = 0;
    std::size_t messages_sent = 0;
};

} // namespace roseworks::testing
