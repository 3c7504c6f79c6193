#pragma once

#include "core/placement/preload_source.hpp"

#include <map>
#include <optional>
#include <tuple>

namespace roseworks::detail
{

/** Learns which servable a caller usually takes up after another, and expects
    it as soon as the caller takes up the first.

    Counted for each caller alone: habits differ.
*/
class companions final : public preload_source
{
public:
    /// @param least_share Share of a caller's visits to the first servable that
    ///                    the second must have followed.
    explicit companions(double least_share);

    void
    used(const servable_use& use, std::vector<expected_use>& expected) override;

private:
    struct visit
    {
        servable_id servable;
        instant at{};
    };

    struct follow_count
    {
        std::map<servable_id, std::uint32_t> next;
        std::uint32_t visits = 0;
    };

    double least_share;
    std::map<std::pair<std::uint32_t, servable_id>, instant> last_use;
    std::map<std::uint32_t, visit> last_visit; ///< by caller
    std::map<std::pair<std::uint32_t, servable_id>, follow_count> follows;
};

} // namespace roseworks::detail
