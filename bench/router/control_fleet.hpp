#pragma once

#include "tests/support/child_process.hpp"
#include "tests/support/fleet.hpp"

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace roseworks::bench
{

/// Bytes of all routers' control traffic over TCP since their start.
struct traffic_sample
{
    double sent = 0;
    double received = 0;
    std::chrono::steady_clock::time_point taken;
};

/// Processor time of all router processes and memory of the largest.
struct process_sample
{
    double cpu_seconds = 0;
    double resident_mib = 0;
    double peak_mib = 0;
    std::chrono::steady_clock::time_point taken;
};

/** Routers with the default intervals, whose own cost is measured.

    `test::fleet` shortens the intervals to make tests quick; it is used here
    for the stand-ins only.
*/
class control_fleet
{
public:
    explicit control_fleet(std::size_t routers);
    ~control_fleet();
    control_fleet(control_fleet&&) = delete;
    control_fleet& operator=(control_fleet&&) = delete;

    /// Publish records with `roseworksctl apply` and wait for every router.
    /// @return Whether all have them in force in time.
    bool apply(const std::string& records);

    /// Wait until every router has folded this offset.
    bool wait_folded(std::uint64_t offset) const;

    /// Reads `/metrics`, which costs the routers processor time.
    traffic_sample traffic() const;

    /// Reads the operating system's figures; costs the routers nothing.
    process_sample processes() const;

    const std::string& log_address() const;
    const std::string& store_address() const;
    const std::string& router_address(std::size_t index) const;
    std::size_t size() const;

private:
    struct router
    {
        std::string name;
        std::string address;
        int pid = 0;
        std::unique_ptr<test::child_process> process;
    };

    void start(std::size_t index);
    void list_vms() const;

    test::fleet standins;
    std::filesystem::path folder;
    std::vector<router> routers;
};

/// Name of the author that `list_vms` shows beside the routers.
inline constexpr const char* bench_author_name = "bench-author";

} // namespace roseworks::bench
