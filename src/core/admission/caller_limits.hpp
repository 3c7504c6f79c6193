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

/** Keeps each caller within its spec, and numbers the callers.

    Requests per second by a token bucket that holds one second's worth;
    requests in flight are those admitted here that aren't final yet, waiting
    ones too. Limits hold for one router. Hint.
*/
class caller_limits
{
public:
    struct admission
    {
        caller_number caller = 0;
        std::optional<duration> refused; ///< when to come back
    };

    /** Admit a request; when it isn't refused, it counts until `release`.

        @param name The caller's name.
        @param spec Its limits.
    */
    admission
    admit(std::string_view name, const caller_spec& spec, instant now);

    /// An admitted request has its final answer.
    void release(caller_number caller);

    /// Forgets callers that were idle for a minute.
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
