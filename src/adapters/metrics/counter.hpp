#pragma once

#include "adapters/metrics/label_set.hpp"
#include "adapters/metrics/metric.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <ostream>

namespace roseworks::metrics
{

/// A monotonically increasing count for each combination of labels. Thread-safe
/// and lock-free.
template <typename... Labels>
class counter final : public metric
{
public:
    using metric::metric;

    /// Adds one to the count of a combination.
    void increment(Labels... labels)
    {
        this->add(1, labels...);
    }

    /// Adds an amount to the count of a combination.
    void add(std::uint64_t amount, Labels... labels)
    {
        this->cells[label_set<Labels...>::index(labels...)].fetch_add(
            amount, std::memory_order_relaxed);
    }

    /// @return the current count of a combination.
    std::uint64_t value(Labels... labels) const
    {
        return this->cells[label_set<Labels...>::index(labels...)].load(
            std::memory_order_relaxed);
    }

    void write(std::ostream& out) const override
    {
        this->write_header(out, "counter");
        for (std::size_t cell = 0; cell < this->cells.size(); ++cell)
        {
            this->write_series(out, label_set<Labels...>::text(cell));
            out << this->cells[cell].load(std::memory_order_relaxed) << '\n';
        }
    }

private:
    std::array<std::atomic<std::uint64_t>, label_set<Labels...>::size> cells{};
};

} // namespace roseworks::metrics
