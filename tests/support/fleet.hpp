#pragma once

#include "tests/support/child_process.hpp"
#include "tests/support/http_call.hpp"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::test
{

/// A model engine stand-in of a fleet.
struct engine_setup
{
    std::string name;
    std::uint32_t memory_mib = 40000;
    bool checks_fencing = true;
    std::vector<std::string> extra; ///< more arguments for the stand-in
};

/// What a fleet is made of.
struct fleet_setup
{
    std::size_t routers = 3;
    std::vector<engine_setup> engines{{"e1"}, {"e2"}};
    std::size_t services = 1;
    std::uint32_t store_slots = 4;
    std::uint32_t store_loads_per_second = 50;
    std::uint32_t store_mib_per_second = 100'000;
    /// Put a fault-injecting proxy before the log, engines and services.
    bool proxies = false;
    /// Options that make the log, VM list, engines and services speak TLS.
    std::vector<std::string> standin_tls;
    /// Memory of a router's VM in MB; 0: that of the machine.
    std::uint32_t memory_mb = 0;
    /// Lines appended to each router's settings, section headers included.
    std::string router_settings;
    std::vector<std::string> log_arguments;
    std::uint64_t checkpoint_records = 50000;
    /// For requests in flight at a shutdown, and then for the handover.
    std::uint32_t drain_limit_ms = 20000;
};

/** Real processes on loopback: stand-ins and routers, on ephemeral ports.

    Everything is killed when the object goes.
*/
class fleet
{
public:
    explicit fleet(fleet_setup setup);
    ~fleet();

    /// Publish records with `roseworksctl apply` and wait until every running
    /// router has folded them.
    /// @param text   Records; engines and services of the setup are added.
    /// @param author Operator's name; operators may race on threads.
    program_result
    apply(const std::string& text, const std::string& author = "test") const;

    /// Publish like `apply`, but don't wait for routers; they may be started
    /// and ended meanwhile.
    program_result
    publish(const std::string& text, const std::string& author) const;

    /// Records of the setup's engines and services, as published by `apply`.
    std::string backend_records() const;

    /// Start one more router. @return Its index.
    std::size_t start_router();

    /// Start a router again under the name of one that has ended.
    void restart_router(std::size_t index);

    /// Start an engine that has ended again, at the address it had.
    void restart_engine(std::size_t index);

    child_process& router(std::size_t index);
    const std::string& router_address(std::size_t index) const;
    std::size_t routers() const;
    std::size_t engines_count() const;

    /// Address of a stand-in itself, not of its proxy.
    const std::string& log_address() const;
    const std::string& store_address() const;
    const std::string& vm_list_address() const;
    const std::string& engine_address(std::size_t index) const;
    const std::string& service_address(std::size_t index) const;
    child_process& engine(std::size_t index);
    child_process& log();

    /// Control address of the proxy before the log, engine or service.
    const std::string& log_proxy() const;
    const std::string& engine_proxy(std::size_t index) const;
    const std::string& service_proxy(std::size_t index) const;

    /// A router's captured log, for a failed test's message.
    std::string router_log(std::size_t index) const;

    /// Wait until every router answers /readyz with 200.
    bool wait_ready();

    /// The independent check of the whole log by `roseworks-audit --verify`.
    program_result verify() const;

private:
    /// A process, its address and, when proxied, the proxy before it.
    struct server
    {
        std::unique_ptr<child_process> process;
        std::string address;
        std::string secured; ///< TLS port; `address` is the control one then
        std::unique_ptr<child_process> proxy;
        std::string proxy_address;
        std::string proxy_control;

        const std::string& reached_at() const;
    };

    struct router_process
    {
        std::string name;
        std::string address;
        std::string peer_address;
        std::unique_ptr<child_process> process;
    };

    server start_server(
        std::string_view program, std::vector<std::string> args, bool proxied);
    void read_addresses(server& of) const;
    void start_standins();
    std::vector<std::string> engine_arguments(const engine_setup& engine) const;
    void list_vms();
    void launch(router_process& target, std::size_t index);
    std::string settings_text(const router_process& target) const;
    std::string live_router_addresses() const;
    program_result run_apply(
        const std::string& text,
        const std::string& author,
        const std::vector<std::string>& further) const;

    fleet_setup setup;
    std::filesystem::path folder;
    server log_server;
    server store;
    server vm_list;
    std::vector<server> engines;
    std::vector<server> services;
    std::vector<router_process> router_processes;
};

/** Poll until something holds.

    @param holds What is waited for.
    @return      Whether it held within the generous limit.
*/
bool eventually(const std::function<bool()>& holds);

} // namespace roseworks::test
