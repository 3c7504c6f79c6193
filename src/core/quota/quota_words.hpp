#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/// Tokens that one request needs of its organisation's limit.
struct quota_draw
{
    std::uint64_t id = 0; ///< unique for its router, also over restarts
    std::string organisation;
    double amount = 0;
    std::int64_t longest_wait_us = 0;
    /// The limit as a backend server named it, for an accountant that hasn't
    /// heard of it; 0: the configuration's counts.
    double named_per_second = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->id,
            this->organisation,
            this->amount,
            this->longest_wait_us,
            this->named_per_second);
    }
};

/// Tokens that were set aside for a request which didn't run.
struct quota_return
{
    std::string organisation;
    double amount = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->organisation, this->amount);
    }
};

/// A router's word to the accountant. Draws are repeated until they are
/// answered; a lost return costs the organisation these tokens.
struct quota_ask
{
    /// Nothing was heard of this accountant, or it needn't count the router.
    static constexpr std::int64_t never = -1;

    std::string router;
    /// How long ago the accountant's last answer came; or never.
    std::int64_t heard_ago_us = never;
    /// For so long yet another accountant counts the router; or never to be
    /// counted here.
    std::int64_t counts_in_us = never;
    std::vector<quota_draw> draws;
    std::vector<quota_return> returns;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->router,
            this->heard_ago_us,
            this->counts_in_us,
            this->draws,
            this->returns);
    }
};

/// What became of one draw.
struct quota_result
{
    std::uint64_t id = 0;
    bool is_allowed = false;
    /// Allowed: until the request may be sent. Refused: until the bucket holds
    /// its tokens.
    std::int64_t wait_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->is_allowed, this->wait_us);
    }
};

/// The accountant's answer to one ask, also to an empty one.
struct quota_answer
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
