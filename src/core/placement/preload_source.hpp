#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/specs.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace roseworks
{

/// One use of a servable by a caller.
struct servable_use
{
    servable_id servable;
    std::uint32_t caller = 0; ///< any number that stands for the caller
    instant at{};
};

/// A servable that is expected to be used. A hint.
struct expected_use
{
    servable_id servable;
    instant earliest{}; ///< it should be ready by then
    instant latest{};   ///< after this it isn't waited for any more
};

/** Foresees uses, so that a servable is loaded just ahead of them.

    A hint: what it expects is loaded only where there is room and a store slot
    that nobody waits for. It never evicts.
*/
class preload_source
{
public:
    virtual ~preload_source() = default;

    /** Learn from a use.

        @param use      What was used, by whom and when.
        @param expected Uses that follow from it are added here.
    */
    virtual void
    used(const servable_use& use, std::vector<expected_use>& expected) = 0;
};

/// @return What foresees uses under the strategy; null when nothing does.
std::unique_ptr<preload_source> make_preload_source(placement_kind kind);

} // namespace roseworks
