#pragma once

#include <optional>

namespace roseworks::metrics
{

namespace detail
{

/// @return the count in a bin, which is either a plain number or an
/// accumulator.
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
/// axis, with or without a logarithmic transform. It interpolates within a bin
/// on the scale of the axis, so the error is at most one bin. For a percentile
/// in the underflow or overflow bin it returns the lower or upper end of the
/// axis. If the storage is thread-safe, it may run while samples are added; it
/// then reads each bin at a slightly different time.
/// @param histogram the samples.
/// @param percent   from 0 to 100; values outside this range are clamped.
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

    const double fraction = percent < 0 ? 0 : percent > 100 ? 1 : percent / 100;
    const double rank = fraction * total;
    double cumulative = count_at(-1);
    if (cumulative > 0 && rank <= cumulative)
        return axis.value(0);
    for (int bin = 0; bin < size; ++bin)
    {
        const double count = count_at(bin);
        if (count > 0 && rank <= cumulative + count)
            return axis.value(bin + (rank - cumulative) / count);
        cumulative += count;
    }
    return axis.value(size);
}

} // namespace roseworks::metrics
