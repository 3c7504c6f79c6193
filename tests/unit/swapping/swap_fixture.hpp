#pragma once

#include "core/serving/servable_key.hpp"
#include "core/serving/server_software.hpp"
#include "core/swapping/swap_planner.hpp"

#include <memory>
#include <string>
#include <vector>

namespace roseworks::testing
{

using namespace std::chrono_literals;

inline instant at(duration since_start)
{
    return instant(100s + since_start);
}

/// Planner, engines and demand of a service `llm`, whose engines have room for
/// three models of 65 GB.
class swap_fixture
{
public:
    explicit swap_fixture(std::size_t models, double model_mb = 65'000)
    {
        auto config = std::make_shared<deployment>();
        config->version = 1;
        service_profile& llm = config->services.emplace_back();
        llm.name = "llm";
        engine_profile& engine = llm.engine.emplace();
        engine.slots = 24;
        engine.memory_mb = 200'000;
        engine.host_memory_mb = 130'000;
        engine.adapter_slots = 2;
        engine.store_loads_per_second = 15;
        for (std::size_t i = 0; i < models; ++i)
        {
            model_profile model;
            model.name = "m" + std::to_string(i);
            model.memory_mb = model_mb;
            model.load_from_store = 6s;
            model.load_from_disk = 780ms;
            model.load_from_memory = 600ms;
            model.adapters = 4;
            model.adapter_mb = 12;
            engine.models.push_back(model);
        }
        this->configuration = config;
        this->engines.set_configuration(config);
    }

    /// Changes the size of one model.
    void resize(std::size_t model, double memory_mb)
    {
        auto config = std::make_shared<deployment>(*this->configuration);
        config->services.front().engine->models[model].memory_mb = memory_mb;
        this->configuration = config;
        this->engines.set_configuration(config);
    }

    /// Adds an engine whose report has been read.
    void engine(
        const std::string& id,
        const std::vector<std::string>& loaded,
        std::vector<std::string> on_disk,
        instant now,
        const std::string& version = "v1")
    {
        server_entry entry;
        entry.id = id;
        entry.service = "llm";
        entry.version = version;
        entry.address = "10.0.0.1:80";
        this->engines.update_entry(entry);
        this->report_state(id, loaded, std::move(on_disk), 0, now);
    }

    void report_state(
        const std::string& id,
        const std::vector<std::string>& loaded,
        std::vector<std::string> on_disk,
        std::uint64_t orders_taken,
        instant now)
    {
        holdings_report report;
        report.orders_taken = orders_taken;
        for (const std::string& model : loaded)
            report.holdings.resident.push_back({model, {}});
        report.holdings.on_disk = std::move(on_disk);
        this->engines.apply_engine_report(id, report, now);
    }

    /// Reports requests that wait at a router.
    void need(
        const std::string& servable,
        duration objective_in,
        instant now,
        const std::string& router = "r1",
        std::uint32_t waiting = 1,
        const std::string& version = "")
    {
        router_report report;
        report.router = router;
        report.sequence = ++this->sequence;
        report.needs = {
            {with_software(
                 servable_key("llm", servable), software_of("llm", version)),
             waiting,
             objective_in.count(),
             duration(objective_in + 8s).count()}};
        this->needs.apply_router_report(report, now);
    }

    /// Reports requests that router `r1` runs on an engine.
    void
    use(const std::string& servable,
        const std::string& engine,
        std::uint32_t running,
        instant now)
    {
        router_report report;
        report.router = "r1";
        report.sequence = ++this->sequence;
        report.uses = {{servable_key("llm", servable), engine, running, 1}};
        this->needs.apply_router_report(report, now);
    }

    std::vector<swap_order> plan(instant now)
    {
        return this->planner.plan(this->engines, this->needs, now);
    }

    /// Records the order as sent and accepted.
    void accept(const swap_order& order, instant now)
    {
        pending_order sent;
        sent.action = order.action;
        sent.model = order.model;
        sent.adapter = order.adapter;
        sent.source = order.source;
        this->engines.order_sent(order.engine, sent, now);
        this->engines.order_answered(
            order.engine, command_outcome::accepted, now);
    }

    std::shared_ptr<const deployment> configuration;
    engine_tracker engines{engine_tracker::options()};
    demand_tracker needs{demand_tracker::options()};
    swap_planner planner{swap_planner::options()};
    std::uint64_t sequence = 0;
};

} // namespace roseworks::testing
