#include "core/config/field_table.hpp"

#include "core/config/field_values.hpp"

#include <algorithm>
#include <array>

namespace roseworks::detail
{

namespace
{

constexpr std::uint64_t max_memory_mib = 16'777'216;
constexpr std::uint64_t max_replica_count = 10'000;
constexpr std::uint64_t max_load_ms = 3'600'000;
constexpr std::uint64_t max_u16 = 65'535;
constexpr std::uint64_t max_rate = 1'000'000;
constexpr std::uint64_t week_ms = 604'800'000;

template <class Spec, class Value>
Spec spec_type(Value Spec::*);

/// Reads and writes the field that a member pointer names.
template <auto Member>
struct member_field
{
    using spec_t = decltype(spec_type(Member));

    static std::string
    read(entity_spec& spec, std::string_view text, const field_rule& rule)
    {
        return read_value(std::get<spec_t>(spec).*Member, text, rule);
    }

    static std::string write(const entity_spec& spec)
    {
        return write_value(std::get<spec_t>(spec).*Member);
    }
};

/// A field of any form but a number.
template <auto Member>
constexpr field_rule word_field(
    std::string_view name,
    std::string_view meaning,
    std::string_view allowed,
    bool required = false)
{
    field_rule rule;
    rule.name = name;
    rule.meaning = meaning;
    rule.allowed = allowed;
    rule.required = required;
    rule.read = &member_field<Member>::read;
    rule.write = &member_field<Member>::write;
    return rule;
}

template <auto Member>
constexpr field_rule number_field(
    std::string_view name,
    std::string_view meaning,
    std::uint64_t low,
    std::uint64_t high,
    bool required = false)
{
    field_rule rule = word_field<Member>(name, meaning, {}, required);
    rule.low = low;
    rule.high = high;
    return rule;
}

constexpr field_rule since_schema(field_rule rule, std::uint16_t first)
{
    rule.first_schema = first;
    return rule;
}

constexpr field_rule until_schema(field_rule rule, std::uint16_t last)
{
    rule.last_schema = last;
    return rule;
}

constexpr std::array model_fields{
    word_field<&model_spec::version>(
        "version", "version of the weights", name_form),
    number_field<&model_spec::memory_mib>(
        "memory_mib", "memory of one replica", 1, max_memory_mib, true),
    until_schema(
        number_field<&model_spec::max_replicas>(
            "replicas",
            "replicas that may be loaded; none is kept ready",
            0,
            max_replica_count),
        1),
    since_schema(
        number_field<&model_spec::min_replicas>(
            "min_replicas",
            "replicas kept ready even when idle",
            0,
            max_replica_count),
        2),
    since_schema(
        number_field<&model_spec::max_replicas>(
            "max_replicas", "replicas never exceeded", 0, max_replica_count),
        2),
    number_field<&model_spec::accelerators>(
        "accelerators", "accelerators that one replica holds", 1, max_u16),
    number_field<&model_spec::max_streams>(
        "max_streams", "concurrent requests a replica takes", 1, max_u16),
    number_field<&model_spec::load_estimate_ms>(
        "load_estimate_ms",
        "time of a load from remote at the store's full speed",
        1,
        max_load_ms),
};

constexpr std::array adapter_fields{
    word_field<&adapter_spec::base>(
        "base", "name of the base model", name_form, true),
    word_field<&adapter_spec::version>(
        "version", "version of the weights", name_form),
    number_field<&adapter_spec::memory_mib>(
        "memory_mib", "memory of one replica", 1, max_memory_mib, true),
    until_schema(
        number_field<&adapter_spec::max_replicas>(
            "replicas",
            "replicas that may be loaded; none is kept ready",
            0,
            max_replica_count),
        1),
    since_schema(
        number_field<&adapter_spec::min_replicas>(
            "min_replicas",
            "replicas kept ready even when idle",
            0,
            max_replica_count),
        2),
    since_schema(
        number_field<&adapter_spec::max_replicas>(
            "max_replicas", "replicas never exceeded", 0, max_replica_count),
        2),
    number_field<&adapter_spec::load_estimate_ms>(
        "load_estimate_ms",
        "time of a load from remote at the store's full speed",
        1,
        max_load_ms),
};

constexpr std::array engine_fields{
    word_field<&engine_spec::address>(
        "address", "where it listens", address_form, true),
    word_field<&engine_spec::vm>("vm", "its VM's name", name_form, true),
    word_field<&engine_spec::data_centre>(
        "data_centre", "its data centre", name_form, true),
    number_field<&engine_spec::memory_mib>(
        "memory_mib", "memory for replicas", 1, max_memory_mib, true),
    number_field<&engine_spec::accelerators>(
        "accelerators", "accelerators it has", 1, max_u16),
    word_field<&engine_spec::fencing>(
        "fencing",
        "whether it refuses orders with an old fencing number",
        fencing_form),
    word_field<&engine_spec::checks_credential>(
        "checks_credential", "whether it checks who orders", yes_no_form),
    word_field<&engine_spec::draining>(
        "draining", "whether it gets no new work", yes_no_form),
};

constexpr std::array service_fields{
    word_field<&service_spec::backends>(
        "backends", "its backend servers", backends_form, true),
    word_field<&service_spec::repeatable>(
        "repeatable", "whether a call may be sent again", yes_no_form),
    number_field<&service_spec::max_streams>(
        "max_streams", "concurrent calls a backend server takes", 1, max_u16),
};

constexpr std::array caller_fields{
    word_field<&caller_spec::highest>(
        "class", "highest priority it may ask for", priority_form),
    number_field<&caller_spec::requests_per_second>(
        "requests_per_second", "rate limit; 0 for none", 0, max_rate),
    number_field<&caller_spec::max_in_flight>(
        "max_in_flight", "concurrent requests; 0 for no limit", 0, max_rate),
    number_field<&caller_spec::weight>(
        "weight", "share among callers of its class", 1, 1000),
};

constexpr std::array policy_fields{
    number_field<&policy_spec::idle_weight>(
        "idle_weight",
        "0: only tail cold starts count, 100: only idle accelerator hours",
        0,
        100),
    number_field<&policy_spec::store_slots>(
        "store_slots", "weight-store loads at full speed at once", 1, 1000),
    number_field<&policy_spec::store_loads_per_second>(
        "store_loads_per_second",
        "weight-store loads started in a second",
        1,
        10'000),
    number_field<&policy_spec::claim_horizon_ms>(
        "claim_horizon_ms",
        "how long an idempotency key is kept",
        60'000,
        week_ms),
    number_field<&policy_spec::crash_block_ms>(
        "crash_block_ms",
        "how long a request that crashes backend servers is blocked",
        1000,
        86'400'000),
    number_field<&policy_spec::crash_threshold>(
        "crash_threshold", "crashes after which it is blocked", 1, 100),
    since_schema(
        word_field<&policy_spec::strategy>(
            "strategy",
            "how replicas are held and loaded ahead, on every router; `unset`: "
            "each router's own setting",
            placement_form),
        3),
    since_schema(
        number_field<&policy_spec::hold_ms>(
            "hold_ms",
            "how long a model that loads in 10 s is held at `idle_weight` 50, "
            "or the time to live of `fixed_ttl`; 0: each router's own setting",
            0,
            week_ms),
        3),
};

template <class Spec>
entity_spec make_spec()
{
    return Spec{};
}

const std::array rules{
    kind_rule{
        entity_kind::model,
        "model",
        "A base model at one version.",
        model_fields,
        &make_spec<model_spec>},
    kind_rule{
        entity_kind::adapter,
        "adapter",
        "An adapter, loaded beside a replica of its base model.",
        adapter_fields,
        &make_spec<adapter_spec>},
    kind_rule{
        entity_kind::engine,
        "engine",
        "A model engine on a backend server.",
        engine_fields,
        &make_spec<engine_spec>},
    kind_rule{
        entity_kind::service,
        "service",
        "A plain service beside the engines.",
        service_fields,
        &make_spec<service_spec>},
    kind_rule{
        entity_kind::caller,
        "caller",
        "A caller's class and limits.",
        caller_fields,
        &make_spec<caller_spec>},
    kind_rule{
        entity_kind::policy,
        "policy",
        "The deployment's policy; one section without a name.",
        policy_fields,
        &make_spec<policy_spec>},
};

} // namespace

const field_rule* kind_rule::find(std::string_view name) const
{
    const auto found = std::find_if(
        this->fields.begin(),
        this->fields.end(),
        [name](const field_rule& rule)
        {
            return rule.name == name;
        });
    return found == this->fields.end() ? nullptr : &*found;
}

std::span<const kind_rule> kind_rules()
{
    return rules;
}

const kind_rule& rule_of(entity_kind kind)
{
    return rules[static_cast<std::size_t>(kind) - 1];
}

const kind_rule* find_kind(std::string_view word)
{
    const auto found = std::find_if(
        rules.begin(),
        rules.end(),
        [word](const kind_rule& rule)
        {
            return rule.word == word;
        });
    return found == rules.end() ? nullptr : &*found;
}

std::string allowed_text(const field_rule& rule)
{
    if (!rule.allowed.empty())
    {
        return std::string(rule.allowed);
    }
    return std::to_string(rule.low) + " to " + std::to_string(rule.high);
}

bool is_name(std::string_view text)
{
    constexpr std::string_view allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                         "abcdefghijklmnopqrstuvwxyz"
                                         "0123456789._-";
    return !text.empty() && text.size() <= max_name_size &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

} // namespace roseworks::detail
