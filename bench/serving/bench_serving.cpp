// Measures a serving view for registries of several sizes: a complete listing,
// the addition of one server, and the construction of a routing table.

#include "core/serving/serving_view.hpp"

#include <chrono>
#include <cstddef>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace roseworks;
using namespace std::chrono_literals;

constexpr std::size_t models = 300;
constexpr std::size_t rounds = 20;

std::shared_ptr<deployment> make_deployment()
{
    auto configuration = std::make_shared<deployment>();
    configuration->version = 1;
    service_profile& service = configuration->services.emplace_back();
    service.name = "llm";
    engine_profile& engine = service.engine.emplace();
    engine.slots = 12;
    for (std::size_t i = 0; i < models; ++i)
        engine.models.emplace_back().name = "model-" + std::to_string(i);
    return configuration;
}

server_entry make_entry(std::size_t number)
{
    constexpr std::size_t models_per_engine = 3;
    server_entry entry;
    entry.id = "engine-" + std::to_string(number);
    entry.service = "llm";
    entry.address = "10.0.0.1:" + std::to_string(number);
    entry.data_centre = "a";
    for (std::size_t i = 0; i < models_per_engine; ++i)
        entry.holdings.resident.push_back(
            {"model-" +
                 std::to_string((models_per_engine * number + i) % models),
             {}});
    return entry;
}

template <class Step>
void print(const std::string& name, std::size_t times, Step step)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < times; ++i)
        step(i);
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    std::cout << name << '=' << elapsed.count() / static_cast<double>(times)
              << " us\n";
}

void measure(std::size_t count)
{
    const std::string size = std::to_string(count) + "_servers";
    std::vector<server_entry> all;
    for (std::size_t i = 0; i < count; ++i)
        all.push_back(make_entry(i));
    serving_view view{serving_view::options()};
    view.deployment_read(make_deployment());
    print(
        "list_" + size,
        1,
        [&](std::size_t)
        {
            view.entries_listed(all, instant(1s));
        });
    print(
        "list_again_" + size,
        1,
        [&](std::size_t)
        {
            view.entries_listed(all, instant(1s));
        });
    print(
        "one_more_" + size,
        rounds,
        [&](std::size_t i)
        {
            view.entry_read(make_entry(count + i));
        });
    print(
        "table_" + size,
        rounds,
        [&](std::size_t)
        {
            view.make_table(true, instant(1s));
        });
}

} // namespace

int main()
{
    measure(92);
    measure(1000);
    measure(3000);
}
