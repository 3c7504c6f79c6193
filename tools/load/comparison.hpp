#pragma once

#include "tools/load/measured_run.hpp"
#include "tools/load/svg_plot.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace roseworks::tools
{

/// One figure of one slice: the second target's against the first's.
struct slice_ratio
{
    std::string figure;
    std::size_t slice = 0;
    double ratio = 0;
};

/** Two targets (settings or builds) under the same slices of a trace.

    Ratios are taken slice by slice, so that what changes on the machine between
    slices meets both sides alike; their spread says how far to trust them.
*/
class comparison
{
public:
    /// @param slice_length How long a slice sends.
    explicit comparison(std::chrono::nanoseconds slice_length);

    /// Add what both targets did with the next slice.
    void add(const measured_run& first, const measured_run& second);

    /// @return All slices on the first target.
    const measured_run& base() const;

    /// @return All slices on the second target.
    const measured_run& other() const;

    /// @return Each slice's ratios; none where a figure of the first is
    ///         missing or 0, or one of the second is missing.
    const std::vector<slice_ratio>& ratios() const;

    /// @return Median, lowest and highest ratio of each figure, and the number
    ///         of slices that gave one.
    std::vector<load_figure> figures() const;

    /// @return The ratios, slice by slice.
    plot ratio_plot() const;

private:
    std::chrono::nanoseconds length;
    std::size_t slices = 0;
    measured_run first_whole;
    measured_run second_whole;
    std::vector<slice_ratio> all;
};

} // namespace roseworks::tools
