#include "bench/router/figures.hpp"

#include "tests/support/http_call.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace roseworks::bench
{

namespace
{

/// The kernel cuts a command's name to this length.
constexpr std::size_t longest_command = 15;

std::string proc_path(int pid, const char* file)
{
    return "/proc/" + std::to_string(pid) + "/" + file;
}

/// @return The number in KiB after a key of `/proc/<pid>/status`, in MiB.
double status_mib(const std::string& line)
{
    const auto colon = line.find(':');
    return std::strtod(line.c_str() + colon + 1, nullptr) / 1024;
}

} // namespace

void print_figure(std::string_view name, double value, std::string_view unit)
{
    std::printf(
        "%.*s=%.4g %.*s\n",
        static_cast<int>(name.size()),
        name.data(),
        value,
        static_cast<int>(unit.size()),
        unit.data());
    std::fflush(stdout);
}

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(
               std::chrono::steady_clock::now() - start)
        .count();
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const double rank = std::ceil(share * static_cast<double>(values.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return values[std::min(index, values.size() - 1)];
}

void print_quantiles(
    std::string_view name,
    const std::vector<double>& values,
    std::string_view unit)
{
    print_figure(std::string(name) + "_p50", quantile(values, 0.5), unit);
    print_figure(std::string(name) + "_p99", quantile(values, 0.99), unit);
}

double read_metric(std::string_view address, std::string_view name)
{
    return read_metrics(address, {std::string(name)}).front();
}

std::vector<double>
read_metrics(std::string_view address, const std::vector<std::string>& names)
{
    test::http_call call;
    call.target = "/metrics";
    std::istringstream text(test::send(address, call).body);
    std::vector<double> values(names.size());
    std::string line;
    while (std::getline(text, line))
    {
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            const std::string head = names[i] + " ";
            if (line.starts_with(head))
                values[i] = std::strtod(line.c_str() + head.size(), nullptr);
        }
    }
    return values;
}

process_usage usage_of(int pid)
{
    process_usage usage;
    std::ifstream stat(proc_path(pid, "stat"));
    std::string text;
    std::getline(stat, text);
    // Fields after the command's closing parenthesis start with the third.
    std::istringstream fields(
        text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int field = 3; field < 14; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.cpu_seconds =
        (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));

    std::ifstream status(proc_path(pid, "status"));
    std::string line;
    while (std::getline(status, line))
    {
        if (line.starts_with("VmRSS:"))
            usage.resident_mib = status_mib(line);
        if (line.starts_with("VmHWM:"))
            usage.peak_mib = status_mib(line);
    }
    return usage;
}

std::vector<int> children_running(std::string_view program)
{
    std::vector<int> found;
    for (const auto& task :
         std::filesystem::directory_iterator("/proc/self/task"))
    {
        std::ifstream children(task.path() / "children");
        int pid = 0;
        while (children >> pid)
        {
            std::ifstream command(proc_path(pid, "comm"));
            std::string name;
            std::getline(command, name);
            if (name == program.substr(0, longest_command))
                found.push_back(pid);
        }
    }
    std::ranges::sort(found);
    return found;
}

} // namespace roseworks::bench
