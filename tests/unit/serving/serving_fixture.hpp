#pragma once

#include "core/serving/serving_view.hpp"

#include <memory>
#include <string>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/// A configuration with an engine service `llm`, which has the models m1 (two
/// adapters) and m2, and a plain service `app`.
inline std::shared_ptr<deployment> make_deployment(std::uint64_t version)
{
    auto configuration = std::make_shared<deployment>();
    configuration->version = version;
    service_profile llm;
    llm.name = "llm";
    engine_profile& engine = llm.engine.emplace();
    engine.slots = 24;
    engine.memory_mb = 200;
    engine.adapter_slots = 2;
    model_profile first_model;
    first_model.name = "m1";
    first_model.memory_mb = 70;
    first_model.adapters = 2;
    model_profile second_model;
    second_model.name = "m2";
    second_model.memory_mb = 40;
    engine.models = {first_model, second_model};
    service_profile app;
    app.name = "app";
    configuration->services = {llm, app};
    return configuration;
}

inline server_entry make_engine(std::string id, std::string model)
{
    server_entry entry;
    entry.id = std::move(id);
    entry.service = "llm";
    entry.address = "10.0.0." + std::to_string(entry.id.size()) + ":80";
    entry.data_centre = "a";
    entry.slots = 24;
    entry.holdings.resident = {{std::move(model), {}}};
    return entry;
}

inline server_entry make_plain(std::string id)
{
    server_entry entry;
    entry.id = std::move(id);
    entry.service = "app";
    entry.address = "10.0.1.1:80";
    entry.data_centre = "a";
    entry.slots = 6;
    return entry;
}

inline instant at(duration since_start)
{
    return instant(10s + since_start);
}

} // namespace roseworks::testing
