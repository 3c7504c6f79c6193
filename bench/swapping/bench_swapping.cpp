// Measures one round of the swap planner with different numbers of engines,
// models and awaited models.

#include "core/serving/servable_key.hpp"
#include "core/swapping/swap_planner.hpp"

#include <chrono>
#include <cstddef>
#include <iostream>
#include <memory>
#include <string>

namespace
{

using namespace roseworks;
using namespace std::chrono_literals;

constexpr std::size_t rounds = 200;

std::string model_name(std::size_t number)
{
    return "model-" + std::to_string(number);
}

std::shared_ptr<deployment> make_deployment(std::size_t models)
{
    auto made = std::make_shared<deployment>();
    made->version = 1;
    service_profile& service = made->services.emplace_back();
    service.name = "llm";
    engine_profile& engine = service.engine.emplace();
    engine.slots = 12;
    engine.memory_mb = 200'000;
    engine.host_memory_mb = 130'000;
    engine.adapter_slots = 8;
    for (std::size_t i = 0; i < models; ++i)
    {
        model_profile model;
        model.name = model_name(i);
        model.memory_mb = 65'000;
        model.load_from_store = 13s;
        model.load_from_disk = 780ms;
        model.load_from_memory = 600ms;
        engine.models.push_back(model);
    }
    return made;
}

/// Adds engines that each have three models loaded, two of them with running
/// requests, and ten models on disk.
void fill(
    engine_tracker& engines,
    demand_tracker& needs,
    std::size_t count,
    std::size_t models)
{
    router_report demand_report;
    demand_report.router = "r";
    demand_report.sequence = 1;
    for (std::size_t i = 0; i < count; ++i)
    {
        server_entry entry;
        entry.id = "engine-" + std::to_string(i);
        entry.service = "llm";
        entry.address = "10.0.0.1:80";
        engines.update_entry(entry);
        holdings_report report;
        for (std::size_t held = 0; held < 3; ++held)
        {
            const std::string name = model_name((3 * i + held) % models);
            report.holdings.resident.push_back({name, {}});
            demand_report.uses.push_back(
                {servable_key("llm", name),
                 entry.id,
                 static_cast<std::uint32_t>(held),
                 1});
        }
        for (std::size_t copy = 0; copy < 10; ++copy)
            report.holdings.on_disk.push_back(
                model_name((7 * i + 11 * copy) % models));
        engines.apply_engine_report(entry.id, report, instant());
    }
    needs.apply_router_report(demand_report, instant(10s));
}

void measure(std::size_t count, std::size_t models, std::size_t awaited_models)
{
    engine_tracker engines{engine_tracker::options()};
    demand_tracker needs{demand_tracker::options()};
    engines.set_configuration(make_deployment(models));
    fill(engines, needs, count, models);
    router_report demand_report;
    demand_report.router = "r";
    demand_report.sequence = 2;
    for (std::size_t i = 0; i < awaited_models; ++i)
        demand_report.needs.push_back(
            {servable_key("llm", model_name((3 * count + i) % models)),
             1,
             2'000'000,
             9'000'000});
    needs.apply_router_report(demand_report, instant(10s));
    swap_planner planner{swap_planner::options()};
    std::size_t orders = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < rounds; ++i)
        orders += planner.plan(engines, needs, instant(10s + 200ms)).size();
    const auto passed = std::chrono::steady_clock::now() - start;
    const std::string size = std::to_string(count) + "_engines";
    std::cout << "round_" << size << '='
              << std::chrono::duration<double, std::micro>(passed).count() /
                     rounds
              << " us\n"
              << "orders_" << size << '=' << orders / rounds << " orders\n";
}

} // namespace

int main()
{
    measure(18, 96, 20);
    measure(90, 274, 60);
    measure(600, 1000, 200);
}
