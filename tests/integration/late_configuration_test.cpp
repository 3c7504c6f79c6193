// Gateways as real processes before a stand-in of the platform's store.

#include "tests/support/child_process.hpp"
#include "tests/support/http_call.hpp"
#include "tests/support/platform_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr const char* config_topic = "keyed.op";
constexpr const char* registry_topic = "keyed.servers";
constexpr const char* router_topic = "keyed.routers";

/// @return Whether neither TCP nor UDP uses a port of loopback.
bool is_free(unsigned short port)
{
    asio::io_context context;
    const auto loopback = asio::ip::address_v4::loopback();
    boost::system::error_code taken;
    asio::ip::tcp::acceptor connections(context, asio::ip::tcp::v4());
    connections.bind({loopback, port}, taken);
    if (taken)
        return false;
    asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
    datagrams.bind({loopback, port}, taken);
    return !taken;
}

/// @return A free port that no other call of this process has given. Below
///         those that the kernel gives to connections, which might take it
///         before the gateway listens there.
unsigned free_port()
{
    constexpr int lowest = 10'000;
    constexpr int spread = 20'000;
    constexpr int apart = 97; // more than one test takes
    static int next = ::getpid() * apart % spread;
    while (true)
    {
        const auto port = static_cast<unsigned short>(lowest + next);
        next = (next + 1) % spread;
        if (is_free(port))
            return port;
    }
}

/// One gateway, and what it listens on.
class gateway
{
public:
    gateway(const std::string& name, const std::string& store)
        : requests(address(free_port()))
        , readiness(address(free_port()))
        , settings_file(
              std::filesystem::temp_directory_path() /
              (name + "-" + std::to_string(::getpid()) + ".ini"))
    {
        std::ofstream file(this->settings_file);
        file << "[vm]\nname = " << name
             << "\ndata_centre = dc\ncores = 0.25\nlink_mbps = 100\n"
             << "first_start = false\n[listen]\nrequests = " << this->requests
             << "\nreadiness = " << this->readiness
             << "\npeers = " << address(free_port())
             << "\nmetrics = " << address(free_port())
             << "\n[store]\naddress = " << store << '\n';
        file.close();
        const std::vector<std::string> arguments{
            "--config", this->settings_file.string()};
        this->process =
            std::make_unique<child_process>("roseworks-gateway", arguments);
    }

    ~gateway()
    {
        this->process.reset();
        std::filesystem::remove(this->settings_file);
    }

    gateway(gateway&&) = delete;
    gateway& operator=(gateway&&) = delete;

    bool is_ready() const
    {
        return send(this->readiness, {.target = "/ready"}).status == 200;
    }

    /// @return The status that a request of this path gets.
    unsigned ask(const std::string& path) const
    {
        http_call call;
        call.target = path;
        call.headers = {
            {"Host", "a.example"}, {"Attempt-Id", "1"}, {"Deadline-Ms", "200"}};
        return send(this->requests, call).status;
    }

private:
    static std::string address(unsigned port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::string requests;
    std::string readiness;
    std::filesystem::path settings_file;
    std::unique_ptr<child_process> process;
};

std::string configuration(int version, const std::vector<std::string>& paths)
{
    std::string routes;
    for (const std::string& path : paths)
    {
        routes += routes.empty() ? "" : ",";
        routes += R"({"name":"r)" + std::to_string(routes.size()) +
                  R"(","host":"a.example","path_prefix":")" + path +
                  R"(","kind":"idempotent","timeout_ms":1000,"service":"s"})";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           routes + R"(],"services":[{"name":"s"}]})";
}

std::string server_entry(int number)
{
    return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(number) +
           R"(","zone":"dc","version":"1","slots":4,"state":"ready","seq":1})";
}

template <class Reached>
bool reached(Reached is_reached)
{
    constexpr int most_looks = 400;
    for (int i = 0; i < most_looks; ++i)
    {
        if (is_reached())
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace

/// A router that the store turned away kept the configuration before for as
/// long as that took, while all others had the next one.
Test(
    late_configuration,
    who_the_store_turns_away_gets_the_configuration_from_another_router)
{
    platform_store store(2);
    store.write(config_topic, "config", configuration(1, {"/a/"}));
    store.write(registry_topic, "i-1", server_entry(1));
    const gateway first("late-a", store.address(0));
    cr_assert(reached(
        [&]
        {
            return first.is_ready();
        }));
    const gateway second("late-b", store.address(1));
    cr_assert(reached(
        [&]
        {
            return second.is_ready() && store.keys(router_topic) == 2;
        }));
    cr_assert_eq(second.ask("/b/x"), 404);
    store.turn_away(1);
    store.write(config_topic, "config", configuration(2, {"/a/", "/b/"}));
    cr_assert(reached(
        [&]
        {
            return first.ask("/b/x") != 404;
        }));
    cr_assert(reached(
        [&]
        {
            return second.ask("/b/x") != 404;
        }));
}

/// Three hundred routers that each listed three thousand entries left the
/// store no time for a configuration.
Test(
    late_configuration,
    routers_that_start_beside_others_copy_the_registry_from_them)
{
    constexpr int servers = 700;
    constexpr int running = 4;
    constexpr int starting = 8;
    platform_store store(1);
    store.write(config_topic, "config", configuration(1, {"/a/"}));
    for (int i = 1; i <= servers; ++i)
        store.write(registry_topic, "i-" + std::to_string(i), server_entry(i));
    std::vector<std::unique_ptr<gateway>> all;
    const auto start = [&](const std::string& name)
    {
        all.push_back(std::make_unique<gateway>(name, store.address(0)));
    };
    const auto all_ready = [&]
    {
        for (const auto& one : all)
        {
            if (!one->is_ready())
                return false;
        }
        return true;
    };
    for (int i = 0; i < running; ++i)
        start("copy-a" + std::to_string(i));
    cr_assert(reached(all_ready));
    const int before = store.listings(registry_topic);
    for (int i = 0; i < starting; ++i)
        start("copy-b" + std::to_string(i));
    cr_assert(reached(all_ready));
    const int listings = store.listings(registry_topic) - before;
    cr_assert_lt(listings, starting / 2, "%d listings", listings);
}
