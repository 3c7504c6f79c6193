#include "adapters/metrics/latency.hpp"

#include <array>
#include <cstdio>
#include <ostream>

namespace roseworks::metrics::detail
{

namespace
{

constexpr int bins_per_bucket = 10;
static_assert(latency_histogram::bin_count % bins_per_bucket == 0);

std::string format_seconds(double seconds, int digits)
{
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.*g", digits, seconds);
    return buffer.data();
}

} // namespace

bucket_writer::bucket_writer(
    std::string_view metric_name, std::string_view label_text)
    : name(metric_name)
    , labels(label_text)
{
}

void bucket_writer::write(
    std::ostream& out, const latency_histogram& histogram) const
{
    constexpr int edge_digits = 6;
    constexpr int sum_digits = 15;
    const auto& bins = histogram.bins();
    const int size = bins.axis().size();

    std::uint64_t cumulative = 0;
    for (int bin = -1; bin < size; ++bin)
    {
        cumulative += bins.at(bin).value();
        const int upper_edge = bin + 1;
        if (upper_edge % bins_per_bucket != 0)
            continue;
        const double seconds = bins.axis().value(upper_edge);
        this->write_bucket(
            out, format_seconds(seconds, edge_digits), cumulative);
    }
    cumulative += bins.at(size).value();
    this->write_bucket(out, "+Inf", cumulative);

    const std::chrono::duration<double> sum = histogram.sum();
    this->write_total(out, "_sum", format_seconds(sum.count(), sum_digits));
    this->write_total(out, "_count", std::to_string(cumulative));
}

void bucket_writer::write_bucket(
    std::ostream& out, std::string_view edge, std::uint64_t cumulative) const
{
    out << this->name << "_bucket{" << this->labels;
    if (!this->labels.empty())
        out << ',';
    out << "le=\"" << edge << "\"} " << cumulative << '\n';
}

void bucket_writer::write_total(
    std::ostream& out, std::string_view suffix, std::string_view value) const
{
    out << this->name << suffix;
    if (!this->labels.empty())
        out << '{' << this->labels << '}';
    out << ' ' << value << '\n';
}

} // namespace roseworks::metrics::detail
