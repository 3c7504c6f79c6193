#include "bench/router/control_fleet.hpp"

#include "bench/router/figures.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <fstream>
#include <unistd.h>

namespace roseworks::bench
{

namespace
{

namespace json = boost::json;

test::fleet_setup only_standins()
{
    test::fleet_setup setup;
    setup.routers = 0;
    return setup;
}

json::object live_router(const std::string& name, const std::string& address)
{
    return {
        {"vm", name},
        {"address", address},
        {"role", "router"},
        {"state", "live"},
        {"data_centre", "dc-a"}};
}

} // namespace

control_fleet::control_fleet(std::size_t routers)
    : standins(only_standins())
    , folder(
          std::filesystem::temp_directory_path() /
          ("roseworks-bench-" + std::to_string(getpid()) + "-" +
           std::to_string(routers)))
    , routers(routers)
{
    std::filesystem::create_directories(this->folder);
    for (std::size_t i = 0; i < routers; ++i)
        this->start(i);
    this->list_vms();
}

control_fleet::~control_fleet()
{
    this->routers.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

void control_fleet::start(std::size_t index)
{
    router& started = this->routers[index];
    started.name = "r" + std::to_string(index + 1);
    const auto settings = this->folder / (started.name + ".ini");
    std::ofstream(settings)
        << "[router]\nname = " << started.name << "\ndata_centre = dc-a\n"
        << "listen = 127.0.0.1:0\n[peers]\nlisten = 127.0.0.1:0\n"
        << "[log]\naddress = " << this->standins.log_address()
        << "\n[vm_list]\naddress = " << this->standins.vm_list_address()
        << "\n";
    const auto before = children_running("roseworks-router");
    started.process = std::make_unique<test::child_process>(
        "roseworks-router",
        std::vector<std::string>{"--config", settings.string()},
        (this->folder / (started.name + ".log")).string());
    std::string address = started.process->wait_for("listening");
    if (address.starts_with("http "))
        address.erase(0, 5);
    started.address = address;
    for (const int pid : children_running("roseworks-router"))
    {
        if (!std::ranges::binary_search(before, pid))
            started.pid = pid;
    }
}

void control_fleet::list_vms() const
{
    json::array put{live_router(bench_author_name, "127.0.0.1:1")};
    for (const router& one : this->routers)
        put.push_back(live_router(one.name, one.address));
    test::control(
        this->standins.vm_list_address(),
        json::serialize(json::object{{"put", std::move(put)}}));
}

bool control_fleet::apply(const std::string& records)
{
    const auto file = this->folder / "records.ini";
    std::ofstream(file) << "[deployment]\nschema = 2\n"
                        << this->standins.backend_records() << records;
    std::string addresses;
    for (const router& one : this->routers)
        addresses += (addresses.empty() ? "" : ",") + one.address;
    const auto result = test::run_program(
        "roseworksctl",
        {"apply",
         file.string(),
         "--log",
         this->standins.log_address(),
         "--timeout-ms",
         "30000",
         "--wait-routers",
         addresses});
    return result.exit_code == 0;
}

bool control_fleet::wait_folded(std::uint64_t offset) const
{
    return std::ranges::all_of(
        this->routers,
        [&](const router& one)
        {
            return test::eventually(
                [&]
                {
                    return read_metric(
                               one.address, "roseworks_log_folded_offset") >=
                           static_cast<double>(offset);
                });
        });
}

traffic_sample control_fleet::traffic() const
{
    traffic_sample sum;
    for (const router& one : this->routers)
    {
        const auto values = read_metrics(
            one.address,
            {"roseworks_control_bytes_sent",
             "roseworks_control_bytes_received"});
        sum.sent += values[0];
        sum.received += values[1];
    }
    sum.taken = std::chrono::steady_clock::now();
    return sum;
}

process_sample control_fleet::processes() const
{
    process_sample sum;
    for (const router& one : this->routers)
    {
        const process_usage used = usage_of(one.pid);
        sum.cpu_seconds += used.cpu_seconds;
        sum.resident_mib = std::max(sum.resident_mib, used.resident_mib);
        sum.peak_mib = std::max(sum.peak_mib, used.peak_mib);
    }
    sum.taken = std::chrono::steady_clock::now();
    return sum;
}

const std::string& control_fleet::log_address() const
{
    return this->standins.log_address();
}

const std::string& control_fleet::store_address() const
{
    return this->standins.store_address();
}

const std::string& control_fleet::router_address(std::size_t index) const
{
    return this->routers.at(index).address;
}

std::size_t control_fleet::size() const
{
    return this->routers.size();
}

} // namespace roseworks::bench
