#include "tools/load/engine_watch.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace roseworks::tools
{

namespace
{

namespace json = boost::json;

constexpr std::chrono::milliseconds sample_interval(250);
constexpr std::chrono::milliseconds read_limit(2'000);

std::optional<json::object> read_state(const endpoint& engine)
{
    http_request request;
    request.target = "/v1/engine/state";
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<json::object>>
        {
            BOOST_LEAF_AUTO(reply, http_call(engine, request, read_limit));
            boost::system::error_code error;
            json::value parsed = json::parse(reply.body, error);
            if (error || !parsed.is_object())
            {
                return std::optional<json::object>();
            }
            return std::optional<json::object>(std::move(parsed.get_object()));
        },
        []
        {
            return std::optional<json::object>();
        });
}

std::uint64_t number(const json::object& from, std::string_view name)
{
    const json::value* value = from.if_contains(name);
    boost::system::error_code error;
    const auto result =
        value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    return error ? 0 : result;
}

std::string text(const json::object& from, std::string_view name)
{
    const json::value* value = from.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string(value->get_string())
               : std::string();
}

/// Adds one engine's state to a sample.
void add_state(
    const json::object& state,
    fleet_sample& sample,
    std::set<std::string>& ready)
{
    const auto running = static_cast<std::uint32_t>(number(state, "running"));
    sample.running += running;
    sample.waiting += static_cast<std::uint32_t>(number(state, "waiting"));
    sample.memory_mib += number(state, "memory_used");
    sample.overcommitted =
        sample.overcommitted ||
        number(state, "memory_used") > number(state, "memory_total");
    const json::value* residents = state.if_contains("residents");
    if (residents == nullptr || !residents->is_array())
    {
        return;
    }
    std::uint32_t ready_models = 0;
    for (const json::value& item : residents->get_array())
    {
        if (!item.is_object())
        {
            continue;
        }
        const json::object& resident = item.get_object();
        if (text(resident, "state") != "ready")
        {
            ++sample.moving;
            continue;
        }
        ++sample.ready;
        ready_models += text(resident, "kind") == "model" ? 1 : 0;
        ready.insert(text(resident, "servable"));
    }
    sample.idle_models += ready_models - std::min(ready_models, running);
}

} // namespace

engine_watch::engine_watch(
    std::vector<endpoint> watched, clock::time_point beginning)
    : engines(std::move(watched))
    , start(beginning)
    , thread(
          [this](const std::stop_token& stop)
          {
              this->run(stop);
          })
{
}

engine_watch::~engine_watch() = default;

bool engine_watch::is_ready(const std::string& servable) const
{
    const std::lock_guard lock(this->guard);
    return this->ready.contains(servable);
}

std::vector<fleet_sample> engine_watch::samples() const
{
    const std::lock_guard lock(this->guard);
    return this->taken;
}

void engine_watch::run(const std::stop_token& stop)
{
    while (!stop.stop_requested() && !this->engines.empty())
    {
        this->sample();
        std::unique_lock lock(this->guard);
        this->wake.wait_for(
            lock,
            stop,
            sample_interval,
            []
            {
                return false;
            });
    }
}

void engine_watch::sample()
{
    fleet_sample sample;
    std::set<std::string> seen;
    for (const endpoint& engine : this->engines)
    {
        const std::optional<json::object> state = read_state(engine);
        if (state)
        {
            add_state(*state, sample, seen);
        }
    }
    const std::lock_guard lock(this->guard);
    sample.at = clock::now() - this->start;
    this->taken.push_back(sample);
    this->ready = std::move(seen);
}

} // namespace roseworks::tools
