#include "core/membership/update_queue.hpp"

#include <algorithm>
#include <bit>

namespace roseworks::detail
{

namespace
{

/// An update is sent this many times for each bit of `members + 1`.
constexpr std::uint32_t retransmit_multiplier = 3;

} // namespace

void update_queue::push(const member_update& update)
{
    std::erase_if(
        this->entries,
        [&](const entry& old)
        {
            return old.update.session == update.session;
        });
    this->entries.push_back(entry{update, 0});
}

std::vector<member_update> update_queue::take(std::size_t members)
{
    std::stable_sort(
        this->entries.begin(),
        this->entries.end(),
        [](const entry& a, const entry& b)
        {
            return a.sent < b.sent;
        });
    std::size_t const count =
        std::min(this->entries.size(), membership::max_updates);
    std::vector<member_update> taken;
    for (std::size_t i = 0; i < count; ++i)
    {
        taken.push_back(this->entries[i].update);
        ++this->entries[i].sent;
    }
    const auto limit = retransmit_multiplier *
                       static_cast<std::uint32_t>(std::bit_width(members + 1));
    std::erase_if(
        this->entries,
        [&](const entry& e)
        {
            return e.sent >= limit;
        });
    return taken;
}

} // namespace roseworks::detail
