#pragma once

#include "core/placement/gap_histogram.hpp"
#include "core/placement/preload_source.hpp"

#include <map>

namespace roseworks::detail
{

/** Expects a servable's next use from a histogram of its own long gaps, whoever
    the caller is: between the gaps' 5th and 95th percentile, when these lie
    close together. Otherwise it expects nothing.
*/
class idle_histogram final : public preload_source
{
public:
    void
    used(const servable_use& use, std::vector<expected_use>& expected) override;

private:
    struct history
    {
        instant last_use{};
        gap_histogram long_gaps;
    };

    static std::size_t percentile_bin(const gap_histogram& gaps, double share);

    std::map<servable_id, history> past;
};

} // namespace roseworks::detail
