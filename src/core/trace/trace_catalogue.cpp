#include "core/trace/trace_catalogue.hpp"

#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace roseworks::detail
{

namespace
{

constexpr std::uint32_t smallest_model_mib = 4 * 1024;
constexpr std::uint32_t largest_model_mib = 48 * 1024;
/// Logarithm of the median model's MiB, and the spread of the logarithm.
constexpr double model_log_median = 9.5;
constexpr double model_log_spread = 0.6;
/// Models above this need two accelerators.
constexpr std::uint32_t one_accelerator_mib = 32 * 1024;
/// Remote loads: a fixed part, and MiB per second at full speed.
constexpr double load_fixed_ms = 2'000;
constexpr double load_mib_per_second = 800;
constexpr std::uint32_t engine_mib = 80 * 1024;
constexpr std::uint32_t host_cache_mib = 96 * 1024;
constexpr std::uint32_t disk_cache_mib = 256 * 1024;
/// Share of its disk that an engine has filled at the start, at most.
constexpr double most_staged = 0.6;
/// One model in so many may have two replicas.
constexpr std::uint32_t doubled_every = 10;

std::uint32_t load_ms(std::uint32_t memory_mib)
{
    return static_cast<std::uint32_t>(
        load_fixed_ms + 1000.0 * memory_mib / load_mib_per_second);
}

traced_servable
make_model(const trace_profile& profile, std::uint32_t index, double mib)
{
    traced_servable model;
    model.name = profile.name + "-model-" + std::to_string(index + 1);
    model.memory_mib = std::clamp(
        static_cast<std::uint32_t>(mib), smallest_model_mib, largest_model_mib);
    model.accelerators = model.memory_mib > one_accelerator_mib ? 2 : 1;
    model.max_replicas = index % doubled_every == 0 ? 2 : 1;
    model.load_ms = load_ms(model.memory_mib);
    return model;
}

void stage_some(
    traced_engine& engine, const trace& catalogue, std::mt19937_64& random)
{
    boost::random::uniform_real_distribution<double> share(0, most_staged);
    boost::random::uniform_int_distribution<std::uint32_t> pick(
        0, static_cast<std::uint32_t>(catalogue.servables.size() - 1));
    const double limit = share(random) * engine.disk_cache_mib;
    double filled = 0;
    for (std::size_t tries = 0; tries < catalogue.servables.size(); ++tries)
    {
        const std::uint32_t candidate = pick(random);
        const traced_servable& servable = catalogue.servables[candidate];
        const bool there =
            std::find(engine.staged.begin(), engine.staged.end(), candidate) !=
            engine.staged.end();
        if (!there && filled + servable.memory_mib <= limit)
        {
            engine.staged.push_back(candidate);
            filled += servable.memory_mib;
        }
    }
}

} // namespace

void add_catalogue(
    trace& result, const trace_profile& profile, std::mt19937_64& random)
{
    boost::random::lognormal_distribution<double> model_mib(
        model_log_median, model_log_spread);
    for (std::uint32_t i = 0; i < profile.models; ++i)
    {
        result.servables.push_back(make_model(profile, i, model_mib(random)));
    }
    boost::random::uniform_int_distribution<std::uint32_t> any_base(
        0, profile.models - 1);
    boost::random::uniform_int_distribution<std::uint32_t> adapter_mib(64, 512);
    boost::random::uniform_int_distribution<std::uint32_t> adapter_ms(
        500, 2'000);
    for (std::uint32_t i = 0; i < profile.adapters; ++i)
    {
        traced_servable adapter;
        adapter.name = profile.name + "-adapter-" + std::to_string(i + 1);
        // The lower of two: popular models carry more adapters.
        const std::uint32_t one = any_base(random);
        const std::uint32_t other = any_base(random);
        adapter.base = std::min(one, other);
        adapter.memory_mib = adapter_mib(random);
        adapter.accelerators = 0;
        adapter.load_ms = adapter_ms(random);
        result.servables.push_back(std::move(adapter));
    }
    for (std::uint32_t i = 0; i < profile.engines; ++i)
    {
        traced_engine engine;
        engine.data_centre =
            profile.data_centres[i % profile.data_centres.size()];
        engine.name = engine.data_centre + "-e" + std::to_string(i + 1);
        engine.memory_mib = engine_mib;
        engine.host_cache_mib = host_cache_mib;
        engine.disk_cache_mib = disk_cache_mib;
        stage_some(engine, result, random);
        result.engines.push_back(std::move(engine));
    }
    result.store_slots = profile.store_slots;
    result.store_loads_per_second = profile.store_loads_per_second;
}

} // namespace roseworks::detail
