#pragma once

#include "core/quota/token_bucket.hpp"
#include "core/quota/urgency_class.hpp"

#include <roseworks/instant.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace roseworks
{

/** Decides which of an organisation's requests get its limit while they ask for
    more than that.

    Load pattern: an organisation sends many times its limit, and its requests
    that can wait reserve tokens in advance. Without an order the urgent ones,
    which can't wait, are refused.

    The tokens in the account's bucket are divided among the classes: each gets
    a guaranteed minimum, and what is left goes to the lowest class first, as
    far as its demand over the last second. All tokens are still taken from the
    bucket, so the sum of what is allowed doesn't depend on the order.
*/
class urgency_shares
{
public:
    /// @param seed Of the jitter on the times that refusals state.
    explicit urgency_shares(std::uint64_t seed = 1)
        : jitter_seed(seed)
    {
    }

    /// Notes a draw, whether it will be allowed or not.
    /// @param id A draw that is repeated within a second counts once.
    /// @return   Whether the draw is new.
    bool add_demand(
        std::uint64_t id, std::uint8_t urgency, double amount, instant now);

    /// Divides the tokens that the bucket has gained or lost since the last
    /// call. To be called before `take`.
    void
    update(const token_bucket& bucket, const usage_limit& limit, instant now);

    /// @return Whether the last second's demand exceeds the limit.
    bool is_short() const
    {
        return this->ordered;
    }

    /// Takes tokens from the bucket if the class may have them now. While the
    /// limit is short, only the urgent class may reserve tokens in advance.
    /// @return See `token_bucket::take`.
    std::optional<duration> take(
        token_bucket& bucket,
        std::uint8_t urgency,
        double amount,
        duration max_wait,
        const usage_limit& limit);

    /// @return When the tokens of a refused draw are expected, with jitter that
    ///         depends on the id and the seed only.
    duration expected_wait(
        const token_bucket& bucket,
        std::uint64_t id,
        std::uint8_t urgency,
        double amount,
        const usage_limit& limit) const;

    /// @return Tokens per second that a class gets while the limit is short.
    double rate(std::uint8_t urgency) const
    {
        return this->rates[urgency];
    }

private:
    using by_class = std::array<double, urgency::class_count>;

    /// The demand of a class within a slice of the last second.
    struct slice
    {
        instant start;
        by_class amounts{};
    };

    struct sighting
    {
        instant when;
        std::uint64_t id = 0;
    };

    void forget_before(instant now);
    void age_mean(instant now);
    void divide_rate(double per_second);
    void divide_tokens(double level, const usage_limit& limit);
    /// Moves tokens that a class has above its cap to those that lack some.
    void pass_on_excess(const usage_limit& limit);
    /// Charges a class, and the others for what it lacks.
    void charge_all(std::uint8_t urgency, double amount);

    std::uint64_t jitter_seed;
    std::deque<slice> slices;
    std::deque<sighting> sightings;                       ///< oldest first
    std::unordered_map<std::uint64_t, instant> last_seen; ///< by draw id
    by_class demand{};      ///< over the last second
    by_class mean_demand{}; ///< decays
    instant aged_at;        ///< when `mean_demand` was decayed
    by_class largest{};     ///< draw of each class, decays
    by_class rates{};       ///< tokens per second
    by_class credits{};     ///< add up to the bucket's level while `ordered`
    bool ordered = false;
};

} // namespace roseworks
