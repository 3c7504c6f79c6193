#include "tests/support/process_usage.hpp"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

namespace roseworks::test
{

namespace
{

namespace fs = std::filesystem;

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

} // namespace

process_usage usage_of(int pid)
{
    const fs::path folder = "/proc/" + std::to_string(pid);
    process_usage usage;
    usage.pid = pid;
    std::ifstream status(folder / "status");
    std::string word;
    while (status >> word)
    {
        if (word == "VmHWM:")
            status >> usage.peak_kib;
        if (word == "VmRSS:")
            status >> usage.resident_kib;
    }
    std::error_code gone;
    const fs::directory_iterator first(folder / "fd", gone);
    if (!gone)
        usage.descriptors = std::distance(first, fs::directory_iterator());
    return usage;
}

std::uint64_t unread_bytes(const std::string& address)
{
    const auto port = std::stoul(address.substr(address.rfind(':') + 1));
    std::ifstream connections("/proc/net/tcp");
    std::string line;
    std::getline(connections, line); // names of the columns
    std::uint64_t sum = 0;
    while (std::getline(connections, line))
    {
        // slot: local-ip:port remote-ip:port state sent:unread, in hexadecimal
        unsigned long local_port = 0;
        unsigned state = 0;
        unsigned long unread = 0;
        const int found = std::sscanf(
            line.c_str(),
            " %*u: %*x:%lx %*x:%*x %x %*x:%lx",
            &local_port,
            &state,
            &unread);
        constexpr int fields = 3;
        constexpr unsigned listening = 0x0A; // its number counts connections
        if (found == fields && local_port == port && state != listening)
            sum += unread;
    }
    return sum;
}

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
