#pragma once

#include <roseworks/instant.hpp>

#include <optional>

namespace roseworks::detail
{

/** Holds back the requests of a target none of whose servers can be reached,
    so that they wait for its recovery instead of failing one after another.

    Closed until `failed`. While open it lets one request through after each
    pause, which doubles with each that fails. One that hasn't failed when the
    next is let through closes it. Hint.
*/
class circuit_breaker
{
public:
    /** A request could not be sent to any server.

        @param now When.
        @return    Whether requests may go on waiting: the first failure since
                   the breaker was closed is less than `recovery_window` ago.
    */
    bool failed(instant now);

    bool is_open() const
    {
        return this->since.has_value();
    }

    /// @return Whether a request may be granted.
    bool allows(instant now) const;

    /// A request was granted.
    void granted(instant now);

    /// A server answered, or a new one is there.
    void close();

    /// @return When a request may be granted again; empty while closed.
    std::optional<instant> opens_at() const;

private:
    std::optional<instant> since; ///< first failure; empty: closed
    instant retry_at;
    duration pause{};
    bool probing = false; ///< one was let through and hasn't failed so far
};

} // namespace roseworks::detail
