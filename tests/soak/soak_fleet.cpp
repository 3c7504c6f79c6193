#include "tests/soak/soak_fleet.hpp"

#include <algorithm>

namespace roseworks::test
{

namespace
{

constexpr std::uint32_t model_mib = 12000;
constexpr std::uint32_t adapter_mib = 500;

const std::vector<std::string> models{
    "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"};
const std::vector<std::string> two_replica_models{"m0", "m1"};

bool is_two_replica(const std::string& name)
{
    return std::ranges::find(two_replica_models, name) !=
           two_replica_models.end();
}

std::string version_of(
    const std::string& name, const std::map<std::string, std::string>& versions)
{
    const auto found = versions.find(name);
    return found == versions.end() ? "1" : found->second;
}

} // namespace

fleet_setup soak_fleet(std::size_t routers)
{
    fleet_setup setup;
    setup.routers = routers;
    setup.engines = {
        {"e1", soak_engine_mib, true},
        {"e2", soak_engine_mib, false},
        {"e3", soak_engine_mib, true}};
    setup.proxies = true;
    setup.router_settings =
        "[leases]\nterm_ms = 2000\nrenew_ms = 500\nmargin_ms = 200\n"
        "[placement]\nstrategy = fixed_ttl\nidle_ttl_ms = 1000\n"
        "[traffic]\nfirst_byte_timeout_ms = 3000\n"
        "idle_byte_timeout_ms = 2000\ndefault_deadline_ms = 8000\n"
        "caller_idle_ms = 5000\n";
    return setup;
}

std::string soak_records(const std::map<std::string, std::string>& versions)
{
    std::string text;
    for (const std::string& name : models)
    {
        text += "[model " + name +
                "]\nversion = " + version_of(name, versions) +
                "\nmemory_mib = " + std::to_string(model_mib) +
                "\nmax_replicas = " + std::to_string(max_replicas(name)) +
                "\nload_estimate_ms = 500\n";
    }
    for (const char* base : {"m0", "m1"})
    {
        text += "[adapter " + std::string(base) + "-a]\nbase = " + base +
                "\nmemory_mib = " + std::to_string(adapter_mib) +
                "\nmax_replicas = 1\n";
    }
    text += "[caller field]\nclass = urgent\n[caller shelf]\nclass = normal\n"
            "[caller night]\nclass = batch\n";
    return text;
}

const std::vector<std::string>& soak_servables()
{
    static const std::vector<std::string> names = []
    {
        std::vector<std::string> all = models;
        all.insert(all.end(), {"m0-a", "m1-a"});
        return all;
    }();
    return names;
}

const std::vector<std::string>& soak_rolling_models()
{
    static const std::vector<std::string> names{"m2", "m3", "m4"};
    return names;
}

std::uint64_t max_replicas(const std::string& servable)
{
    return is_two_replica(servable) ? 2 : 1;
}

} // namespace roseworks::test
