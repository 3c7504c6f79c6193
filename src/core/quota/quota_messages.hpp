#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/// Tokens that one request takes from the limit of an account.
struct quota_draw
{
    std::uint64_t id = 0; ///< unique per router, also across restarts
    std::string
        account; ///< of an organisation, a server, or a service's retries
    double amount = 0;
    std::int64_t max_wait_us = 0;
    /// The rate limit or the slots of a backend server, for an accountant that
    /// doesn't know it yet; 0: the configured limit applies.
    double announced = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->id,
            this->account,
            this->amount,
            this->max_wait_us,
            this->announced);
    }
};

/// Which of several draws that wait for the same account goes first. Sent with
/// the draws, in a list of its own: routers of earlier versions read none.
struct draw_order
{
    /// The request has no objective, or none that it can still meet.
    static constexpr std::int64_t no_objective = -1;

    std::uint64_t id = 0;  ///< of the draw
    std::uint8_t rank = 0; ///< of the request, 0 to 9; 0 is first
    std::int64_t objective_in_us = no_objective; ///< from the sending
    /// Of an organisation's request: 0 is served first if the limit is short.
    std::uint8_t urgency_class = 0;

    bool operator==(const draw_order&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->id, this->rank, this->objective_in_us, this->urgency_class);
    }
};

/// The requests of an account that arrived at one router. Only accounts whose
/// limit grows with them are reported.
struct request_count
{
    std::string account;
    std::uint32_t in_window = 0; ///< within the limit's window

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->account, this->in_window);
    }
};

/// Tokens that were taken for a request that did not run.
struct quota_return
{
    std::string account;
    double amount = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->account, this->amount);
    }
};

/// The requests that a router has at a backend server whose places are counted.
struct place_usage
{
    std::string account;
    std::uint32_t held = 0;
    std::uint64_t pending_draw = 0;   ///< without an answer yet; 0: none
    std::uint32_t rejections = 0;     ///< for want of room, since the start
    std::int64_t rejected_us_ago = 0; ///< time since the latest one

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->account,
            this->held,
            this->pending_draw,
            this->rejections,
            this->rejected_us_ago);
    }
};

/// Message from a router to its accountant. Draws are repeated until they are
/// answered. Returns are not: a lost one costs the organisation these tokens.
struct quota_query
{
    /// No answer came from this accountant, or it must not count this router.
    static constexpr std::int64_t never = -1;

    std::string router;
    /// Age of the last answer from this accountant, or `never`.
    std::int64_t last_reply_age_us = never;
    /// Time until this accountant starts to count the router, while another one
    /// still counts it, or `never`.
    std::int64_t counting_delay_us = never;
    std::vector<quota_draw> draws;
    std::vector<quota_return> returns;
    std::vector<request_count> request_counts;
    std::vector<place_usage> usages; ///< of some accounts
    /// Identifies the router's run, and the position of this message in it:
    /// usages of a message that was overtaken by a later one are outdated.
    std::uint64_t run = 0;
    std::uint64_t sequence = 0;
    /// Of draws that don't have the default order.
    std::vector<draw_order> orders;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->router,
            this->last_reply_age_us,
            this->counting_delay_us,
            this->draws,
            this->returns,
            this->request_counts);
        // Routers of earlier versions leave this field out.
        if constexpr (requires { archive.remaining(); })
        {
            if (archive.remaining() == 0)
                return;
        }
        archive(this->usages, this->run, this->sequence);
        if constexpr (requires { archive.remaining(); })
        {
            if (archive.remaining() == 0)
                return;
        }
        else if (this->orders.empty())
            return;
        archive(this->orders);
    }
};

/// Result of one draw.
struct quota_result
{
    /// The draw waits for a place, and another result follows.
    static constexpr std::int64_t queued = -1;

    std::uint64_t id = 0;
    bool is_allowed = false;
    /// Allowed: time until the request may be sent. Refused: time until the
    /// bucket holds enough tokens, or `queued`.
    std::int64_t wait_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->is_allowed, this->wait_us);
    }
};

/// The accountant's reply to each query, including one without draws.
struct quota_reply
{
    std::string accountant;
    std::vector<quota_result> results;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->accountant, this->results);
    }
};

} // namespace roseworks
