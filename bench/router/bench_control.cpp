/** What a router costs while no caller calls it: processor time, memory and
    bytes of its control traffic, with the default settings, while another
    author writes to the log at the rates of the two-year size; then the same
    with 87,000 adapters published.
*/
#include "bench/router/control_fleet.hpp"
#include "bench/router/figures.hpp"
#include "bench/router/log_author.hpp"

#include <roseworks/codec.hpp>

#include <chrono>
#include <cstdio>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace roseworks;
using namespace roseworks::bench;

namespace
{

using clock = std::chrono::steady_clock;

constexpr double measured_seconds = 8;
constexpr auto settle_time = std::chrono::milliseconds(500);
constexpr int scrapes = 4;
constexpr std::uint32_t models = 180;
constexpr std::uint32_t adapters = 87'000;
constexpr std::uint32_t entities_a_record = 200;
constexpr std::size_t records_an_append = 10;
constexpr std::uint64_t bench_author = 0xbe9c4;
constexpr const char* engine_name = "bench-engine";
constexpr const char* base_name = "bench-base";

config_change put_one(entity_kind kind, std::string name, entity_spec spec)
{
    entity_change change;
    change.kind = kind;
    change.name = std::move(name);
    change.spec = std::move(spec);
    config_change put;
    put.author = "bench";
    put.changes.push_back(std::move(change));
    return put;
}

/** Keeps writing wakes and idles of an adapter on an engine of its own, whose
    lease it holds, so that no router takes part.
*/
class tail_writer
{
public:
    explicit tail_writer(const control_fleet& nodes)
        : log(nodes.log_address(), bench_author)
    {
        this->session = session_id(
            this->log
                .append(router_join{
                    bench_author_name, "dc-a", "127.0.0.1:1", "127.0.0.1:1"})
                .value);
        this->take_engine(nodes.store_address());
        this->load_base();
    }

    /** Write for a time.

        @param records_a_second Pace; each record is an append of its own.
        @return Seconds that it took.
    */
    double write_for(double seconds, double records_a_second)
    {
        const auto start = clock::now();
        for (std::size_t written = 0;; ++written)
        {
            const double due = static_cast<double>(written) / records_a_second;
            if (due > seconds)
                break;
            std::this_thread::sleep_until(
                start + std::chrono::duration_cast<clock::duration>(
                            std::chrono::duration<double>(due)));
            this->write_one();
        }
        return seconds_since(start);
    }

    log_author log;

private:
    /// @param address Any stand-in that isn't an engine of the fleet: routers
    ///                read its state in vain, and it is nobody else's engine.
    void take_engine(const std::string& address)
    {
        std::uint32_t engines = 0;
        this->log.read_state().for_each_engine(
            [&](const engine_view&)
            {
                ++engines;
            });
        engine_spec engine;
        engine.address = address;
        engine.vm = bench_author_name;
        engine.data_centre = "dc-a";
        engine.memory_mib = 80'000;
        model_spec base;
        base.memory_mib = 1000;
        adapter_spec adapter;
        adapter.base = base_name;
        adapter.memory_mib = 10;
        // One append: no router can take the lease in between.
        const std::vector<record_payload> together{
            put_one(entity_kind::engine, engine_name, engine),
            lease_acquire{engine_id(engines + 1), this->session, {}, {}},
            put_one(entity_kind::model, base_name, base),
            put_one(entity_kind::adapter, "bench-adapter", adapter)};
        this->log.append(together);
        const fleet_state state = this->log.read_state();
        this->engine = state.find_engine(engine_name);
        this->adapter = state.find_servable("bench-adapter");
        this->base = state.find_servable(base_name);
        if (const auto held = state.engine(this->engine))
        {
            this->held = held->held;
            this->engine_revision = held->current;
        }
        this->adapter_revision = state.servable(this->adapter)->current;
        this->base_revision = state.servable(this->base)->current;
    }

    void load_base()
    {
        const auto offset = this->log.append(replica_decide{
            this->base,
            this->base_revision,
            this->engine,
            this->engine_revision,
            {},
            this->session,
            priority::normal});
        this->base_replica = replica_id(offset.value);
        this->log.append(replica_report{
            this->base_replica,
            replica_state::ready,
            this->held,
            this->session,
            {}});
    }

    /// The next step of the adapter's life; every 300th renews the lease.
    void write_one()
    {
        if (++this->steps % 300 == 0)
        {
            this->log.append(session_renew{this->session});
            return;
        }
        static constexpr replica_state order[] = {
            replica_state::ready,
            replica_state::draining,
            replica_state::unloading,
            replica_state::gone};
        if (this->stage == std::size(order))
        {
            const auto offset = this->log.append(replica_decide{
                this->adapter,
                this->adapter_revision,
                this->engine,
                this->engine_revision,
                this->base_replica,
                this->session,
                priority::normal});
            this->replica = replica_id(offset.value);
            this->stage = 0;
            return;
        }
        this->log.append(replica_report{
            this->replica,
            order[this->stage++],
            this->held,
            this->session,
            {}});
    }

    session_id session;
    engine_id engine;
    servable_id adapter;
    servable_id base;
    revision engine_revision;
    revision adapter_revision;
    revision base_revision;
    fence held;
    replica_id base_replica;
    replica_id replica;
    std::size_t stage = 4;
    std::size_t steps = 0;
};

/** The mean cost of a router while something goes on.

    Traffic is read before and after processor time, so that reading it isn't
    measured.
*/
class usage_window
{
public:
    explicit usage_window(const control_fleet& nodes)
        : nodes(nodes)
        , traffic(nodes.traffic())
    {
        std::this_thread::sleep_for(settle_time);
        this->processes = nodes.processes();
    }

    /// End the window and print its figures.
    void print(const std::string& name) const
    {
        const process_sample used = this->nodes.processes();
        const traffic_sample moved = this->nodes.traffic();
        const auto routers = static_cast<double>(this->nodes.size());
        const auto seconds = [](clock::duration time)
        {
            return std::chrono::duration<double>(time).count();
        };
        print_figure(
            name + "_cpu",
            (used.cpu_seconds - this->processes.cpu_seconds) /
                seconds(used.taken - this->processes.taken) / routers * 100,
            "percent_core");
        const double scale =
            seconds(moved.taken - this->traffic.taken) * routers * 1000;
        print_figure(
            name + "_sent", (moved.sent - this->traffic.sent) / scale, "KB/s");
        print_figure(
            name + "_received",
            (moved.received - this->traffic.received) / scale,
            "KB/s");
        print_figure(name + "_resident", used.resident_mib, "MiB");
        print_figure(name + "_resident_peak", used.peak_mib, "MiB");
    }

private:
    const control_fleet& nodes;
    traffic_sample traffic;
    process_sample processes;
};

/// Use over a while with nobody writing but the routers themselves.
void measure_idle(const std::string& name, const control_fleet& nodes)
{
    const usage_window window(nodes);
    std::this_thread::sleep_for(
        std::chrono::duration<double>(measured_seconds));
    window.print(name);
}

void measure_tail(
    const std::string& name,
    const control_fleet& nodes,
    tail_writer& writer,
    double records_a_second)
{
    const auto records = writer.log.records();
    const auto bytes = writer.log.bytes();
    const double rejected =
        read_metric(nodes.router_address(0), "roseworks_records_rejected");
    const usage_window window(nodes);
    const double seconds = writer.write_for(measured_seconds, records_a_second);
    window.print(name);
    const auto written = static_cast<double>(writer.log.records() - records);
    print_figure(name + "_rate", written / seconds, "records/s");
    print_figure(
        name + "_record",
        static_cast<double>(writer.log.bytes() - bytes) / written,
        "bytes");
    print_figure(
        name + "_rejected",
        read_metric(nodes.router_address(0), "roseworks_records_rejected") -
            rejected,
        "records");
}

/// Processor time that one reading of `/metrics` costs a router.
void measure_scrape(const std::string& name, const control_fleet& nodes)
{
    const double before = nodes.processes().cpu_seconds;
    for (int i = 0; i < scrapes; ++i)
    {
        nodes.traffic();
        std::this_thread::sleep_for(settle_time);
    }
    const double spent = nodes.processes().cpu_seconds - before;
    print_figure(
        name + "_scrape_cpu",
        spent / scrapes / static_cast<double>(nodes.size()) * 1000,
        "ms");
}

/// Bytes on the log of the records that make up the two-year tail.
void print_record_sizes()
{
    const session_id session(1'000'000);
    const claim_key key{0x123456789abcdef0, 0x0fedcba987654321};
    const replica_id replica(1'000'000);
    const auto print = [](const char* name, record_payload payload)
    {
        record value;
        value.id = {author_id(0x123456789abcdef0), 1'700'000'000'000'000, 9999};
        value.stamp = 1'700'000'000'000;
        value.payload = std::move(payload);
        print_figure(
            std::string("record_") + name,
            static_cast<double>(encode(value).size()),
            "bytes");
    };
    print("session_renew", session_renew{session});
    print(
        "replica_decide",
        replica_decide{
            servable_id(1000),
            revision(1000),
            engine_id(10),
            revision(1000),
            replica,
            session,
            priority::normal});
    print(
        "replica_report",
        replica_report{
            replica, replica_state::ready, fence(1000), session, {}});
    print("claim_open", claim_open{key, session});
    print(
        "claim_close",
        claim_close{key, session, claim_outcome::answered, 200, "{}"});
}

/// Publish the two-year size's models and adapters, straight to the log.
void publish_catalogue(const control_fleet& nodes)
{
    log_author author(nodes.log_address(), bench_author + 1);
    std::vector<record_payload> records;
    config_change change;
    change.author = "bench";
    const auto flush = [&](bool whole)
    {
        if (!change.changes.empty())
            records.emplace_back(std::move(change));
        change = {};
        change.author = "bench";
        if (whole || records.size() == records_an_append)
        {
            author.append(records);
            records.clear();
        }
    };
    const auto add = [&](entity_kind kind, std::string name, entity_spec spec)
    {
        entity_change one;
        one.kind = kind;
        one.name = std::move(name);
        one.spec = std::move(spec);
        change.changes.push_back(std::move(one));
        if (change.changes.size() == entities_a_record)
            flush(false);
    };
    for (std::uint32_t i = 0; i < models; ++i)
    {
        model_spec spec;
        spec.memory_mib = 20'000;
        spec.max_replicas = 8;
        add(entity_kind::model, "agri-model-" + std::to_string(i), spec);
    }
    for (std::uint32_t i = 0; i < adapters; ++i)
    {
        adapter_spec spec;
        spec.base = "agri-model-" + std::to_string(i % models);
        spec.version = std::to_string(i % 50);
        spec.memory_mib = 200;
        add(entity_kind::adapter, "shop-planogram-" + std::to_string(i), spec);
    }
    flush(true);
}

void measure_fleet(std::size_t routers)
{
    const std::string size = "n" + std::to_string(routers);
    control_fleet nodes(routers);
    if (!nodes.apply(""))
        std::printf("# apply failed\n");
    measure_idle("control_idle_" + size, nodes);
    tail_writer writer(nodes);
    measure_tail("control_tail30_" + size, nodes, writer, 30);
    measure_tail("control_tail70_" + size, nodes, writer, 70);
}

void measure_catalogue()
{
    constexpr std::size_t routers = 3;
    control_fleet nodes(routers);
    if (!nodes.apply(""))
        std::printf("# apply failed\n");
    const auto start = clock::now();
    publish_catalogue(nodes);
    print_figure("catalogue_published", seconds_since(start), "s");
    log_author reader(nodes.log_address(), bench_author + 2);
    const bool folded = nodes.wait_folded(reader.next_offset().value - 1);
    print_figure("catalogue_in_force_3_routers", seconds_since(start), "s");
    print_figure("catalogue_folded_everywhere", folded ? 1 : 0, "bool");
    print_figure(
        "catalogue_servables",
        read_metric(nodes.router_address(0), "roseworks_servables"),
        "servables");
    measure_idle("catalogue_idle", nodes);
    measure_scrape("catalogue", nodes);
    tail_writer writer(nodes);
    measure_tail("catalogue_tail30", nodes, writer, 30);
    measure_tail("catalogue_tail70", nodes, writer, 70);

    const auto applied = clock::now();
    const bool in_force = nodes.apply("[caller desk]\nmax_in_flight = 7\n");
    print_figure("catalogue_apply_in_force", seconds_since(applied), "s");
    print_figure("catalogue_apply_succeeded", in_force ? 1 : 0, "bool");
}

} // namespace

/// `--catalogue` measures the two-year size's models and adapters only.
int main(int count, char** arguments)
{
    print_record_sizes();
    const bool catalogue_only =
        count > 1 && std::string_view(arguments[1]) == "--catalogue";
    if (!catalogue_only)
    {
        measure_fleet(3);
        measure_fleet(9);
    }
    measure_catalogue();
}
