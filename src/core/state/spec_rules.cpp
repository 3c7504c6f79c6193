#include "core/state/spec_rules.hpp"

#include <boost/url/ipv4_address.hpp>
#include <boost/url/ipv6_address.hpp>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>

namespace roseworks::detail
{

namespace
{

constexpr std::size_t max_text = 200;
constexpr std::size_t max_backends = 1024;

bool printable(std::string_view text)
{
    return std::all_of(
        text.begin(),
        text.end(),
        [](char c)
        {
            return c > ' ' && c <= '~' && c != '"' && c != '\\';
        });
}

/// @return Whether the text is an IP number (no name) and a port.
bool is_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == text.size())
        return false;
    const char* last = text.data() + text.size();
    std::uint16_t port = 0;
    const auto [end, error] =
        std::from_chars(text.data() + colon + 1, last, port);
    if (error != std::errc() || end != last || port == 0)
        return false;
    const std::string_view ip = text.substr(0, colon);
    if (!ip.empty() && ip.front() == '[' && ip.back() == ']')
        return boost::urls::parse_ipv6_address(ip.substr(1, ip.size() - 2))
            .has_value();
    return boost::urls::parse_ipv4_address(ip).has_value();
}

std::string problem_in_label(std::string_view field, std::string_view text)
{
    if (text.size() > max_text)
        return std::string(field) + ": longer than 200 characters";
    if (!printable(text))
        return std::string(field) + ": has characters that aren't printable";
    return {};
}

std::string problem_in_address(std::string_view field, std::string_view text)
{
    if (is_address(text))
        return {};
    return std::string(field) + ": `" + std::string(text.substr(0, max_text)) +
           "` is not ip:port";
}

/// @return The first problem that isn't empty.
template <class... Text>
std::string first_of(Text... problems)
{
    std::string found;
    ((found.empty() ? (void)(found = std::move(problems)) : (void)0), ...);
    return found;
}

std::string zero(std::string_view field, std::uint32_t value)
{
    return value != 0 ? std::string() : std::string(field) + ": must not be 0";
}

/// What models and adapters have in common.
template <class Spec>
std::string problem_in_servable(const Spec& spec)
{
    if (spec.version.empty())
        return "version: must not be empty";
    if (spec.min_replicas > spec.max_replicas)
        return "min_replicas: " + std::to_string(spec.min_replicas) +
               " is above max_replicas " + std::to_string(spec.max_replicas);
    return first_of(
        problem_in_label("version", spec.version),
        zero("memory_mib", spec.memory_mib));
}

std::string check(const model_spec& spec)
{
    return first_of(
        problem_in_servable(spec),
        zero("accelerators", spec.accelerators),
        zero("max_streams", spec.max_streams));
}

std::string check(const adapter_spec& spec)
{
    if (spec.base.empty())
        return "base: must not be empty";
    return problem_in_servable(spec);
}

std::string check(const engine_spec& spec)
{
    return first_of(
        problem_in_address("address", spec.address),
        problem_in_label("vm", spec.vm),
        problem_in_label("data_centre", spec.data_centre),
        zero("memory_mib", spec.memory_mib),
        zero("accelerators", spec.accelerators));
}

std::string check(const service_spec& spec)
{
    if (spec.backends.empty())
        return "backends: must not be empty";
    if (spec.backends.size() > max_backends)
        return "backends: more than 1024";
    for (const service_backend& backend : spec.backends)
    {
        std::string problem = first_of(
            problem_in_address("backends.address", backend.address),
            problem_in_label("backends.vm", backend.vm),
            problem_in_label("backends.data_centre", backend.data_centre));
        if (!problem.empty())
            return problem;
    }
    return zero("max_streams", spec.max_streams);
}

std::string check(const caller_spec& spec)
{
    return zero("weight", spec.weight);
}

std::string check(const policy_spec& spec)
{
    if (spec.idle_weight > 100)
        return "idle_weight: above 100";
    return first_of(
        zero("store_slots", spec.store_slots),
        zero("store_loads_per_second", spec.store_loads_per_second),
        zero("claim_horizon_ms", spec.claim_horizon_ms),
        zero("crash_block_ms", spec.crash_block_ms),
        zero("crash_threshold", spec.crash_threshold));
}

} // namespace

std::string problem_in(const entity_spec& spec)
{
    return std::visit(
        [](const auto& value)
        {
            return check(value);
        },
        spec);
}

std::string problem_in_name(std::string_view name)
{
    if (name.empty())
        return "name: must not be empty";
    return problem_in_label("name", name);
}

} // namespace roseworks::detail
