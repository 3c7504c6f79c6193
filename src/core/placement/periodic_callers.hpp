#pragma once

#include "core/placement/preload_source.hpp"

#include <map>
#include <optional>
#include <utility>

namespace roseworks::detail
{

/** Recognises callers who come back at regular times, and expects them.

    A visit begins with a use after a pause of the same caller and servable.
    Two intervals between visits that agree make a period; for one that is close
    to a day, the first is enough.
*/
class periodic_callers final : public preload_source
{
public:
    void
    used(const servable_use& use, std::vector<expected_use>& expected) override;

private:
    struct visits
    {
        instant last_use{};
        instant last_visit{};
        std::optional<duration> interval;
    };

    static bool regular(const visits& known, duration interval);

    std::map<std::pair<std::uint32_t, servable_id>, visits> known_visits;
};

} // namespace roseworks::detail
