#pragma once

#include "adapters/metrics/label_set.hpp"
#include "adapters/metrics/metric.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <ostream>

namespace roseworks::metrics
{

/// A value that can go up and down, for each combination of labels. Thread-safe
/// and lock-free.
template <typename... Labels>
class gauge final : public metric
{
public:
    using metric::metric;

    /// Replaces the value of a combination.
    void set(std::int64_t value, Labels... labels)
    {
        this->cells[label_set<Labels...>::index(labels...)].store(
            value, std::memory_order_relaxed);
    }

    /// Adds to the value of a combination; negative amounts subtract.
    void add(std::int64_t amount, Labels... labels)
    {
        this->cells[label_set<Labels...>::index(labels...)].fetch_add(
            amount, std::memory_order_relaxed);
    }

    /// @return the current value of a combination.
    std::int64_t value(Labels... labels) const
    {
        return this->cells[label_set<Labels...>::index(labels...)].load(
            std::memory_order_relaxed);
    }

    void write(std::ostream& out) const override
    {
        this->write_header(out, "gauge");
        for (std::size_t cell = 0; cell < this->cells.size(); ++cell)
        {
            this->write_series(out, label_set<Labels...>::text(cell));
            out << this->cells[cell].load(std::memory_order_relaxed) << '\n';
        }
    }

private:
    std::array<std::atomic<std::int64_t>, label_set<Labels...>::size> cells{};
};

} // namespace roseworks::metrics
