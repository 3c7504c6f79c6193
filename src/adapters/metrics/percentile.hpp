#pragma once

#include <optional>

namespace roseworks::metrics
{

namespace detail
{

/// @return a bin's content, whether it is a plain number or an accumulator.
template <typename Cell>
double bin_content(const Cell& cell)
{
    if constexpr (requires { cell.value(); })
        return static_cast<double>(cell.value());
    else
        return static_cast<double>(cell);
}

} // namespace detail

/// Estimates a percentile of a one-dimensional Boost.Histogram with a regular
/// axis (a logarithmic one too), interpolating inside the bin on the axis's
/// own scale. The error is at most one bin. A percentile that falls into the
/// under- or overflow bin gives the axis's lower or upper end. May run beside
/// fills when the storage is thread-safe; it then counts each bin as it meets
/// it.
/// @param histogram the samples.
/// @param percent   from 0 to 100; values outside are held at the ends.
/// @return the value in the axis's unit; empty when there are no samples.
template <typename Histogram>
std::optional<double> percentile(const Histogram& histogram, double percent)
{
    const auto& axis = histogram.axis(0);
    const int size = axis.size();
    const auto count_at = [&histogram](int bin)
    {
        return detail::bin_content(histogram.at(bin));
    };

    double total = 0;
    for (int bin = -1; bin <= size; ++bin)
        total += count_at(bin);
    if (total == 0)
        return std::nullopt;

    const double share = percent < 0 ? 0 : percent > 100 ? 1 : percent / 100;
    const double rank = share * total;
    double below = count_at(-1);
    if (below > 0 && rank <= below)
        return axis.value(0);
    for (int bin = 0; bin < size; ++bin)
    {
        const double count = count_at(bin);
        if (count > 0 && rank <= below + count)
            return axis.value(bin + (rank - below) / count);
        below += count;
    }
    return axis.value(size);
}

} // namespace roseworks::metrics
