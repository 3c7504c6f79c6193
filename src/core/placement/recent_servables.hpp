#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace roseworks::detail
{

/** What is remembered of servables, at most `Most` of them.

    Eight places for each group of ids; a new servable takes the place of the
    group's least recently used one. Groups are made when they are first used,
    so that a small fleet pays for its own size. Hint.
*/
template <class Value, std::size_t Most = 16'384>
class recent_servables
{
public:
    struct entry
    {
        instant last_use{};
        servable_id id;
        Value value{};
    };

    static constexpr std::size_t most = Most;

    /// @return The servable's entry, or null.
    const entry* find(servable_id id) const
    {
        const auto& places = this->groups[id.value % group_count];
        if (!places)
            return nullptr;
        const auto place = this->place_of(*places, id);
        return place == places->end() ? nullptr : &*place;
    }

    /** Look a servable up to note its use; the caller sets `last_use`.

        @param id The servable.
        @return   Its entry; empty, with `last_use` 0, when it is new or was
                  forgotten.
    */
    entry& use(servable_id id)
    {
        auto& places = this->groups[id.value % group_count];
        if (!places)
            places = std::make_unique<group>();
        const auto known = this->place_of(*places, id);
        if (known != places->end())
            return *known;
        const auto oldest = std::min_element(
            places->begin(),
            places->end(),
            [](const entry& one, const entry& other)
            {
                return one.last_use < other.last_use;
            });
        *oldest = entry{};
        oldest->id = id;
        return *oldest;
    }

private:
    static constexpr std::size_t ways = 8;
    static constexpr std::size_t group_count = Most / ways;

    using group = std::array<entry, ways>;

    template <class Group>
    static auto place_of(Group& places, servable_id id)
    {
        return std::find_if(
            places.begin(),
            places.end(),
            [id](const entry& one)
            {
                return one.id == id;
            });
    }

    std::vector<std::unique_ptr<group>> groups =
        std::vector<std::unique_ptr<group>>(group_count);
};

} // namespace roseworks::detail
