#pragma once

#include <roseworks/instant.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace roseworks::detail
{

/** A time in which a backend server wants no requests of this router, and the
    slow start after it.

    After the end, one request may run at the server. When it has taken as many
    as may run, one more may, until the number no longer matters. Otherwise all
    requests that have waited would arrive at once.
*/
class server_pause
{
public:
    /// Begins a pause, or extends the present one. The later end holds.
    void begin(instant until)
    {
        this->end = std::max(this->end, until);
        this->allowed = first_requests;
        this->taken = 0;
    }

    /// Ends the pause and the slow start.
    void clear()
    {
        *this = server_pause();
    }

    bool is_active(instant now) const
    {
        return now < this->end;
    }

    instant ends_at() const
    {
        return this->end;
    }

    /// @param running Requests of this router at the server.
    /// @return Whether a further request may be sent.
    bool allows(std::uint32_t running, instant now) const
    {
        return !this->is_active(now) && running < this->allowed;
    }

    /// The server took a request.
    /// @return Whether more requests may be sent than before.
    bool accepted(instant now)
    {
        if (this->is_active(now) || this->allowed == unlimited)
            return false;
        if (++this->taken < this->allowed)
            return false;
        this->taken = 0;
        this->allowed =
            this->allowed < last_limit ? this->allowed + 1 : unlimited;
        return true;
    }

    /// The server rejected a request, with or without a new pause.
    void rejected()
    {
        if (this->allowed != unlimited)
            this->allowed = first_requests;
        this->taken = 0;
    }

private:
    static constexpr std::uint32_t first_requests = 1;
    /// More than a router has at one server at a time.
    static constexpr std::uint32_t last_limit = 64;
    static constexpr std::uint32_t unlimited =
        std::numeric_limits<std::uint32_t>::max();

    instant end = instant::min();
    std::uint32_t allowed = unlimited; ///< requests at a time, after the end
    std::uint32_t taken = 0;           ///< since `allowed` has changed
};

} // namespace roseworks::detail
