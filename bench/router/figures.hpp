#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::bench
{

/// Print one figure as `name=value unit`.
void print_figure(std::string_view name, double value, std::string_view unit);

/// Seconds since a point in time.
double seconds_since(std::chrono::steady_clock::time_point start);

/** A quantile by nearest rank.

    @param values Samples in any order.
    @param share  0 to 1.
    @return       The sample at that rank; 0 without samples.
*/
double quantile(std::vector<double> values, double share);

/// Print the p50 and p99 of samples, as `name_p50` and `name_p99`.
void print_quantiles(
    std::string_view name,
    const std::vector<double>& values,
    std::string_view unit);

/** Read a gauge or counter without labels from a router's `/metrics`.

    @param address ip:port of the router.
    @param name    The metric's name.
    @return        Its value; 0 when it can't be read.
*/
double read_metric(std::string_view address, std::string_view name);

/** Read several metrics from one answer of `/metrics`.

    @param address ip:port of the router.
    @param names   The metrics' names.
    @return        Their values in that order; 0 for those not there.
*/
std::vector<double>
read_metrics(std::string_view address, const std::vector<std::string>& names);

/// What the operating system says of a process.
struct process_usage
{
    double cpu_seconds = 0;
    double resident_mib = 0;
    double peak_mib = 0;
};

/// @return Usage of a process; zeros when it isn't there.
process_usage usage_of(int pid);

/// @return Ids of this process's own children that run the program.
std::vector<int> children_running(std::string_view program);

} // namespace roseworks::bench
