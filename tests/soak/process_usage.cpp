#include "tests/soak/process_usage.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

namespace roseworks::test
{

namespace
{

namespace fs = std::filesystem;

constexpr std::uint64_t page_kib = 4;

std::string text_of(const fs::path& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// Ids of this process's children, whichever thread started them.
std::vector<int> children()
{
    std::vector<int> found;
    for (const auto& thread : fs::directory_iterator("/proc/self/task"))
    {
        std::ifstream in(thread.path() / "children");
        int pid = 0;
        while (in >> pid)
            found.push_back(pid);
    }
    return found;
}

process_usage usage_of(int pid)
{
    const fs::path folder = "/proc/" + std::to_string(pid);
    process_usage usage;
    usage.pid = pid;
    std::ifstream in(folder / "statm");
    std::uint64_t all_pages = 0;
    std::uint64_t resident_pages = 0;
    in >> all_pages >> resident_pages;
    usage.resident_kib = resident_pages * page_kib;
    std::error_code gone;
    const fs::directory_iterator first(folder / "fd", gone);
    if (!gone)
        usage.descriptors = std::distance(first, fs::directory_iterator());
    return usage;
}

} // namespace

process_usage router_usage(const std::string& name)
{
    for (const int pid : children())
    {
        const std::string command =
            text_of("/proc/" + std::to_string(pid) + "/cmdline");
        if (command.find("/" + name + ".ini") != std::string::npos)
            return usage_of(pid);
    }
    return {};
}

} // namespace roseworks::test
