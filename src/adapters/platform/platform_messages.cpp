#include "adapters/platform/platform_messages.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace roseworks::platform
{

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

std::string text_field(const json::object& object, std::string_view name)
{
    const json::value* field = object.if_contains(name);
    if (field == nullptr || !field->is_string())
        return {};
    return std::string(field->as_string());
}

/// @return The field, or 0 if it is missing, not a number, negative or too
///         large.
template <class Number>
Number number_field(const json::object& object, std::string_view name)
{
    const json::value* field = object.if_contains(name);
    if (field == nullptr || !field->is_number())
        return 0;
    json::error_code error;
    const auto number = field->to_number<Number>(error);
    return error ? Number(0) : number;
}

const json::array*
array_field(const json::object& object, std::string_view name)
{
    const json::value* field = object.if_contains(name);
    return field == nullptr ? nullptr : field->if_array();
}

leaf::result<json::object> parse_object(std::string_view body)
{
    json::error_code error;
    json::value parsed =
        json::parse(json::string_view(body.data(), body.size()), error);
    if (error)
        return leaf::new_error(message_error{error.message()});
    if (!parsed.is_object())
        return leaf::new_error(message_error{"message is not a JSON object"});
    return std::move(parsed.as_object());
}

std::optional<replica_state> parse_state(std::string_view text)
{
    if (text == "loading")
        return replica_state::loading;
    if (text == "ready")
        return replica_state::ready;
    if (text == "unloading")
        return replica_state::unloading;
    if (text == "failed")
        return replica_state::failed;
    return {};
}

leaf::result<resident> read_resident(const json::value& value)
{
    if (!value.is_object())
        return leaf::new_error(message_error{"resident is not a JSON object"});

    const json::object& object = value.as_object();
    const auto state = parse_state(text_field(object, "state"));
    if (!state)
        return leaf::new_error(message_error{"resident has an unknown state"});

    resident result;
    result.replica = replica_id(number_field<std::uint64_t>(object, "replica"));
    result.state = *state;
    result.servable = text_field(object, "servable");
    result.memory_mib = number_field<std::uint32_t>(object, "memory");
    result.running = number_field<std::uint32_t>(object, "running");
    result.served = number_field<std::uint64_t>(object, "served");
    result.version = text_field(object, "version");
    return result;
}

void read_cached(const json::object& object, engine_report& report)
{
    const json::array* cached = array_field(object, "cached");
    if (cached == nullptr)
        return;
    for (const json::value& value : *cached)
    {
        if (!value.is_object())
            continue;
        const std::string tier = text_field(value.as_object(), "tier");
        std::string servable = text_field(value.as_object(), "servable");
        if (tier == "memory")
            report.cached_in_memory.push_back(std::move(servable));
        else if (tier == "disk")
            report.cached_on_disk.push_back(std::move(servable));
    }
}

std::optional<cache_event> read_cache_event(const json::value& value)
{
    constexpr std::size_t prefix_digits = 16;
    constexpr int hex_base = 16;
    const json::object* object = value.if_object();
    if (object == nullptr)
        return {};

    cache_event result;
    result.sequence = number_field<std::uint64_t>(*object, "seq");
    const json::value* cached = object->if_contains("cached");
    const std::string prefix = text_field(*object, "prefix");
    const char* end = prefix.data() + prefix.size();
    const auto parsed =
        std::from_chars(prefix.data(), end, result.prefix, hex_base);
    if (result.sequence == 0 || cached == nullptr || !cached->is_bool() ||
        prefix.size() != prefix_digits || parsed.ec != std::errc() ||
        parsed.ptr != end)
        return {};
    result.cached = cached->get_bool();
    return result;
}

leaf::result<vm_entry> read_vm(const json::value& value)
{
    if (!value.is_object())
        return leaf::new_error(message_error{"VM is not a JSON object"});

    const json::object& object = value.as_object();
    const std::string role = text_field(object, "role");
    const std::string state = text_field(object, "state");
    if (role != "router" && role != "backend")
        return leaf::new_error(message_error{"VM has an unknown role"});
    if (state != "live" && state != "leaving")
        return leaf::new_error(message_error{"VM has an unknown state"});

    vm_entry result;
    result.vm = text_field(object, "vm");
    result.address = text_field(object, "address");
    result.data_centre = text_field(object, "data_centre");
    result.is_router = role == "router";
    result.leaving = state == "leaving";
    if (result.vm.empty())
        return leaf::new_error(message_error{"VM has no name"});
    return result;
}

} // namespace

std::string write_order(const engine_order& order)
{
    json::object object;
    object["order_id"] = order.order_id;
    object["fence"] = order.held.value;
    object["action"] = order.action == order_action::load ? "load" : "unload";
    object["replica"] = order.replica.value;
    object["servable"] = order.servable;
    object["kind"] = order.is_adapter ? "adapter" : "model";
    object["version"] = order.version;
    object["base"] = order.base;
    object["memory"] = order.memory_mib;
    return json::serialize(object);
}

leaf::result<engine_report> read_report(std::string_view body, engine_id engine)
{
    BOOST_LEAF_AUTO(object, parse_object(body));
    engine_report report;
    report.engine = engine;
    report.reachable = true;
    report.incarnation = number_field<std::uint64_t>(object, "incarnation");
    report.memory_used_mib = number_field<std::uint32_t>(object, "memory_used");
    report.running = number_field<std::uint32_t>(object, "running");
    report.waiting = number_field<std::uint32_t>(object, "waiting");

    const json::array* residents = array_field(object, "residents");
    if (residents == nullptr)
        return leaf::new_error(
            message_error{"field residents is missing or not a list"});
    for (const json::value& value : *residents)
    {
        BOOST_LEAF_AUTO(entry, read_resident(value));
        report.residents.push_back(std::move(entry));
    }
    read_cached(object, report);
    return report;
}

leaf::result<cache_report> read_cache_report(std::string_view body)
{
    BOOST_LEAF_AUTO(object, parse_object(body));
    const json::array* events = array_field(object, "events");
    if (events == nullptr)
        return leaf::new_error(
            message_error{"field events is missing or not a list"});

    cache_report report;
    report.next = number_field<std::uint64_t>(object, "next");
    for (const json::value& value : *events)
    {
        if (const auto event = read_cache_event(value))
            report.events.push_back(*event);
    }
    return report;
}

leaf::result<std::vector<vm_entry>> read_vm_list(std::string_view body)
{
    BOOST_LEAF_AUTO(object, parse_object(body));
    const json::array* vms = array_field(object, "vms");
    if (vms == nullptr)
        return leaf::new_error(
            message_error{"field vms is missing or not a list"});

    std::vector<vm_entry> result;
    for (const json::value& value : *vms)
    {
        BOOST_LEAF_AUTO(vm, read_vm(value));
        result.push_back(std::move(vm));
    }
    return result;
}

std::string read_error_code(std::string_view body)
{
    json::error_code error;
    const json::value parsed =
        json::parse(json::string_view(body.data(), body.size()), error);
    if (error || !parsed.is_object())
        return {};
    return text_field(parsed.as_object(), "error");
}

} // namespace roseworks::platform
