/** Measures the control traffic between routers for several fleet sizes. All
    routers run in one process, with UDP sockets on loopback and the default
    probe interval of 1 s.

    Prints for each router: datagrams/s, bytes/s and CPU time. Then stops one
    router and prints the time until all others have detected this.
*/
#include "adapters/peers/udp_peers.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

using namespace roseworks;

namespace
{

namespace asio = boost::asio;

constexpr auto warm_up_time = std::chrono::seconds(3);
constexpr auto measurement_time = std::chrono::seconds(6);
constexpr auto detection_limit = std::chrono::seconds(40);

class real_clock : public clock_port
{
public:
    instant now() const override
    {
        return instant(std::chrono::duration_cast<duration>(
            std::chrono::steady_clock::now().time_since_epoch()));
    }

    stamp_ms wall() const override
    {
        return 0;
    }
};

class null_sink : public event_sink
{
public:
    void emit(const event_record& /*record*/) noexcept override {}
};

class alive_counter : public peer_listener
{
public:
    void demand_received(const servable_demand& /*what*/) override {}
    void visit_received(const caller_visit& /*what*/) override {}

    void peers_alive(std::span<const session_id> sessions) override
    {
        this->alive = sessions.size();
    }

    std::size_t alive = 0;
};

/// All routers of the fleet, in this process.
class fleet
{
public:
    explicit fleet(std::size_t count)
        : listeners(count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            udp_peers::options settings;
            settings.listen = {asio::ip::address_v4::loopback(), 0};
            settings.first_counter = 1;
            settings.probing.seed = i + 1;
            this->nodes.push_back(std::make_unique<udp_peers>(
                this->context,
                mac_keys::unauthenticated(),
                settings,
                this->clock,
                this->events));
        }
        this->start_all();
    }

    void run_for(std::chrono::steady_clock::duration time)
    {
        this->context.run_for(time);
    }

    /// Stops the last router.
    /// @return Seconds until all others take it for dead.
    double time_to_detect()
    {
        const auto start = std::chrono::steady_clock::now();
        this->nodes.back()->stop();
        const auto all_detected = [&]
        {
            for (std::size_t i = 0; i + 1 < this->listeners.size(); ++i)
            {
                if (this->listeners[i].alive != this->nodes.size() - 1)
                    return false;
            }
            return true;
        };
        while (!all_detected() &&
               std::chrono::steady_clock::now() - start < detection_limit)
            this->context.run_for(std::chrono::milliseconds(50));
        const std::chrono::duration<double> elapsed =
            std::chrono::steady_clock::now() - start;
        return elapsed.count();
    }

    /// The traffic of all nodes since their start.
    struct traffic_sum
    {
        std::uint64_t datagrams_sent = 0;
        std::uint64_t bytes_sent = 0;
        std::uint64_t bytes_received = 0;
    };

    traffic_sum total() const
    {
        traffic_sum sum;
        for (const auto& node : this->nodes)
        {
            sum.datagrams_sent += node->traffic().datagrams_sent;
            sum.bytes_sent += node->traffic().bytes_sent;
            sum.bytes_received += node->traffic().bytes_received;
        }
        return sum;
    }

private:
    void start_all()
    {
        std::vector<peer_session> list;
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            list.push_back(
                {session_id(i + 1), "", "", this->nodes[i]->address()});
        }
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            this->nodes[i]->start(this->listeners[i]);
            this->nodes[i]->sessions_changed(session_id(i + 1), list);
        }
    }

    asio::io_context context;
    real_clock clock;
    null_sink events;
    std::vector<alive_counter> listeners;
    std::vector<std::unique_ptr<udp_peers>> nodes;
};

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void print(
    const char* name, std::size_t routers, double value, const char* unit)
{
    std::printf("%s_n%zu=%.3f %s\n", name, routers, value, unit);
}

void measure(std::size_t routers)
{
    fleet nodes(routers);
    nodes.run_for(warm_up_time);
    const auto before = nodes.total();
    const double cpu_before = cpu_seconds();
    nodes.run_for(measurement_time);
    const double cpu = cpu_seconds() - cpu_before;
    const auto after = nodes.total();
    const double seconds =
        std::chrono::duration<double>(measurement_time).count();
    const double scale = seconds * static_cast<double>(routers);
    const auto datagrams =
        static_cast<double>(after.datagrams_sent - before.datagrams_sent);
    const auto bytes =
        static_cast<double>(after.bytes_sent - before.bytes_sent);
    print("membership_datagrams", routers, datagrams / scale, "per_router_s");
    print("membership_bytes", routers, bytes / scale, "B_per_router_s");
    print("membership_cpu", routers, cpu / scale * 100, "percent_core");
    print("membership_detect", routers, nodes.time_to_detect(), "s");
}

} // namespace

int main()
{
    for (std::size_t routers : {2, 9, 50, 200})
        measure(routers);
}
