#pragma once

#include <roseworks/instant.hpp>

#include <optional>

namespace roseworks::detail
{

/** Whether requests may be sent to a server that named a rate limit.

    The limit is one sum over all routers, so that each request takes a permit
    from whoever counts it. One permit is asked for at a time. How long this
    router waits for its turn among the others is observed. Hint.
*/
class server_pace
{
public:
    /// @param per_second Requests, over all routers; 0: no limit.
    void limit(double per_second);

    bool is_limited() const
    {
        return this->per_second > 0;
    }

    bool may_send(instant now) const
    {
        return !this->is_limited() ||
               (this->allowed_from && *this->allowed_from <= now);
    }

    /// @return Whether a permit is to be asked for.
    bool must_ask(instant now) const
    {
        return this->is_limited() && !this->awaits_answer(now) &&
               !this->allowed_from && this->ask_again <= now;
    }

    /// @return Whether the answer to an ask is still to come.
    bool awaits_answer(instant now) const
    {
        return this->is_asked && now - this->last_asked < longest_answer;
    }

    /// @return When `must_ask` or `may_send` changes by itself.
    std::optional<instant> changes_at() const;

    /// @return How long until a request may be sent, as far as is known.
    duration next_in(instant now) const;

    /// @return Time between two permits of this router while requests wait.
    duration turn(instant now) const;

    /// @param waits Whether a request has no other server to go to.
    void asked(bool waits, instant now);
    void allowed(instant from);
    void refused(instant retry);

    /// A request is sent under the permit.
    void sent()
    {
        this->allowed_from.reset();
    }

    /// @return Whether there was a permit.
    bool withdraw();

private:
    /// An ask without an answer for so long is made again.
    static constexpr duration longest_answer = std::chrono::seconds(1);

    double per_second = 0;
    bool is_asked = false;
    std::optional<instant> allowed_from; ///< of the permit
    instant ask_again = instant::min();
    duration usual_turn{};
    std::optional<instant> waiting_since; ///< for a permit
    instant last_asked;
};

} // namespace roseworks::detail
