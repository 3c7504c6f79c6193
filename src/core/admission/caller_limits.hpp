#pragma once

#include "core/admission/queue_item.hpp"

#include <roseworks/specs.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace roseworks::detail
{

/** Enforces the limits of each caller's spec and assigns numbers to callers.

    Requests per second are limited by a token bucket that holds one second's
    worth. Requests in flight are those admitted here that have no final answer
    yet, including waiting ones. The limits apply to one router.

    Advisory: an error here cannot break a guarantee.
*/
class caller_limits
{
public:
    struct admission
    {
        caller_number caller = 0;
        std::optional<duration> refused; ///< retry after this; empty: admitted
    };

    /// Admits or refuses a request. An admitted request counts as in flight
    /// until `release`.
    admission
    admit(std::string_view name, const caller_spec& spec, instant now);

    /// Counts a second attempt of an admitted request as in flight, too, until
    /// `release`. It takes nothing from the caller's rate.
    void share(caller_number caller);

    /// Called when an admitted request has its final answer.
    void release(caller_number caller);

    /// Removes callers that were idle for a minute.
    void purge(instant now);

    std::size_t size() const
    {
        return this->entries.size();
    }

private:
    struct entry
    {
        std::string name;
        double tokens = 0;
        std::uint32_t in_flight = 0;
        instant last;
    };

    entry& find_or_add(
        std::string_view name,
        const caller_spec& spec,
        instant now,
        caller_number& number);

    std::unordered_map<std::string, caller_number> numbers;
    std::unordered_map<caller_number, entry> entries;
    caller_number last_number = 0;
};

} // namespace roseworks::detail
