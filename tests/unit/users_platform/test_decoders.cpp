#include "platform/deployment_decoder.hpp"
#include "platform/prompt_parts.hpp"
#include "platform/server_decoder.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::users_platform;
using namespace std::chrono_literals;

namespace
{

const std::string configuration = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","path_prefix":"/a/","kind":"streaming",
  "timeout_ms":11000,"goal_ms":2500,"priority":0,"service":"llm",
  "max_attempts":1,"session_affinity":true,"resumable":false,
  "target_gap_ms":400},
 {"name":"r2","host":"h.example","path_prefix":"/b/","kind":"idempotent",
  "timeout_ms":2000,"goal_ms":300,"priority":2,
  "split":[{"service":"llm","weight":90},{"service":"app","weight":10}],
  "max_attempts":2}],
 "services":[{"name":"llm","health_path":"/health","max_conns":210,
  "engine":{"slots":24,"host_mb":130000.0,"models":[
   {"name":"m1","mb":65100.5,"load_s":6.0,"adapters":56,"adapter_mb":12.0,
    "warm_s":0.6,"disk_s":0.78}],"mb":200000.0,"adapter_slots":8,
   "loads_per_s":15.0}},
  {"name":"app","health_path":"/health","max_conns":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

const std::string entry = R"({"service":"llm","address":"10.0.0.9:8080",
 "zone":"a","version":"v1","slots":24,"state":"ready","cold_ms":0,
 "stage":"mixed","models":[{"name":"m1","version":1,"adapters":["a3"]}],
 "seq":4,"available":{"in_memory":["m2"],"on_disk":["m1","m2"]}})";

std::string with(std::string text, std::string_view from, std::string_view to)
{
    const auto place = text.find(from);
    cr_assert_neq(place, std::string::npos);
    return text.replace(place, from.size(), to);
}

} // namespace

Test(server_decoder, reads_the_version_of_the_software)
{
    cr_assert_eq(decode_server("i-1", entry).value->version, "v1");
    const auto version_in = [](std::string_view field)
    {
        return decode_server("i-1", with(entry, R"("version":"v1",)", field))
            .value->version;
    };
    const std::string too_long =
        R"("version":")" + std::string(300, 'v') + R"(",)";
    cr_assert_eq(version_in(""), "");
    cr_assert_eq(version_in(R"("version":7,)"), "");
    cr_assert_eq(version_in(R"("version":null,)"), "");
    cr_assert_eq(version_in(R"("version":"",)"), "");
    cr_assert_eq(version_in(too_long), "");
    cr_assert_eq(version_in(R"("version":"V1",)"), "V1");
}

Test(deployment_decoder, reads_routes_and_services)
{
    const auto read = decode_deployment(configuration);
    cr_assert(read.value.has_value(), "%s", read.invalid_field.c_str());
    const deployment& result = *read.value;
    cr_assert_eq(result.version, 7);
    cr_assert_eq(result.routes.size(), 2);
    cr_assert(result.routes[0].kind == request_kind::streaming);
    cr_assert(result.routes[0].timeout == 11s);
    cr_assert(result.routes[0].objective == 2500ms);
    cr_assert(result.routes[0].max_event_gap == 400ms);
    cr_assert_not(result.routes[0].repeatable());
    cr_assert(result.routes[1].repeatable());
    cr_assert_eq(result.routes[1].services.size(), 2);
    cr_assert_eq(result.routes[1].max_attempts, 2);
    const service_profile* llm = result.find_service("llm");
    cr_assert_not_null(llm);
    cr_assert_eq(llm->engine->adapter_slots, 8);
    cr_assert_eq(llm->engine->models[0].adapters, 56);
    cr_assert(llm->engine->models[0].load_from_disk == 780ms);
    cr_assert_not(result.find_service("app")->engine.has_value());
    cr_assert(result.callers.idle_timeout == 15s);
}

Test(deployment_decoder, reads_organisations)
{
    const auto without = decode_deployment(configuration);
    cr_assert(!without.value->organisations);
    const std::string tenants =
        R"("tenants":[{"name":"o1","api_keys":["k1","k2"],"priority":1,)"
        R"("unit":"tokens","uncached_tokens":200,"rate_per_s":219320,)"
        R"("burst":1000.5},{"name":"o2","api_keys":[],"rate_per_s":0},)"
        R"({"name":"o3","rate_per_s":5}],"limits")";
    const auto read =
        decode_deployment(with(configuration, "\"limits\"", tenants));
    cr_assert(read.value.has_value(), "%s", read.invalid_field.c_str());
    const auto& all = *read.value->organisations;
    cr_assert_eq(all.size(), 3);
    cr_assert_eq(all[0].name, "o1");
    cr_assert_eq(all[0].rank, 1);
    cr_assert_eq(all[0].keys.size(), 2);
    cr_assert(all[0].keys[1] == digest_of("k2"));
    cr_assert_eq(all[0].limit->per_second, 219320);
    cr_assert_eq(all[0].limit->burst, 1000.5);
    cr_assert_eq(all[0].cost({}), 200);
    cr_assert_eq(all[0].cost(1540), 1540);
    cr_assert(!all[1].limit);
    cr_assert_eq(all[2].limit->burst, 0);
    cr_assert_eq(all[2].cost(1540), 1);
}

Test(deployment_decoder, an_empty_list_of_organisations_differs_from_none)
{
    const auto read = decode_deployment(
        with(configuration, "\"limits\"", R"("tenants":[],"limits")"));
    cr_assert(read.value->organisations && read.value->organisations->empty());
}

Test(deployment_decoder, a_route_may_allow_callers_without_a_key)
{
    const auto read = decode_deployment(with(
        configuration,
        "\"session_affinity\":true",
        "\"allow_anonymous\":true"));
    cr_assert(read.value->routes[0].allow_anonymous);
    cr_assert_not(read.value->routes[1].allow_anonymous);
}

Test(deployment_decoder, rejects_invalid_organisations)
{
    for (const char* wrong :
         {"7",
          "[7]",
          R"([{"api_keys":["k"]}])",
          R"([{"name":""}])",
          R"([{"name":"o","api_keys":7}])",
          R"([{"name":"o","api_keys":[7]}])",
          R"([{"name":"o","api_keys":[""]}])"})
    {
        const auto read = decode_deployment(with(
            configuration,
            "\"limits\"",
            std::string("\"tenants\":") + wrong + ",\"limits\""));
        cr_assert(!read.value.has_value(), "%s", wrong);
    }
}

Test(deployment_decoder, a_route_of_unknown_kind_is_never_retried)
{
    const auto read =
        decode_deployment(with(configuration, "idempotent", "unheard_of"));
    cr_assert(read.value->routes[1].kind == request_kind::non_idempotent);
}

Test(deployment_decoder, rejects_a_configuration_with_an_invalid_part)
{
    const std::string broken[] = {
        "",
        "[]",
        "{\"version\":7}",
        with(configuration, "\"version\":7", "\"version\":\"7\""),
        with(configuration, "\"version\":7", "\"version\":7.5"),
        with(configuration, "\"timeout_ms\":11000", "\"timeout_ms\":null"),
        with(configuration, "\"mb\":200000.0", "\"mb\":\"much\""),
        with(configuration, "\"weight\":90", "\"weight\":-1"),
        configuration.substr(0, configuration.size() / 2)};
    for (const std::string& text : broken)
        cr_assert_not(
            decode_deployment(text).value.has_value(), "%s", text.c_str());
}

Test(server_decoder, reads_an_engine)
{
    const auto read = decode_server("i-1", entry);
    cr_assert(read.value.has_value(), "%s", read.invalid_field.c_str());
    cr_assert_eq(read.value->id, "i-1");
    cr_assert_eq(read.value->address, "10.0.0.9:8080");
    cr_assert_not(read.value->leaving);
    cr_assert_eq(read.value->holdings.resident[0].adapters[0], "a3");
    cr_assert_eq(read.value->holdings.on_disk.size(), 2);
    cr_assert_eq(read.value->holdings.in_memory.size(), 1);
}

Test(server_decoder, a_draining_server_is_leaving)
{
    const auto read = decode_server("i", with(entry, "ready", "draining"));
    cr_assert(read.value->leaving);
}

Test(server_decoder, reads_the_start_time_of_a_server_process)
{
    const auto read =
        decode_server("i", with(entry, "\"seq\"", "\"born\":1234,\"seq\""));
    cr_assert_eq(read.value->born_ms, 1234);
}

/// Other writers may put invalid entries into the registry; they must not be
/// used as servers.
Test(server_decoder, rejects_invalid_entries)
{
    const std::string broken[] = {
        "",
        "\xff\xfe",
        "null",
        with(entry, "\"service\":\"llm\"", "\"service\":5"),
        with(entry, "10.0.0.9:8080", "example.com:80"),
        with(entry, "10.0.0.9:8080", "10.0.0.9"),
        with(entry, "\"slots\":24", "\"slots\":0"),
        with(entry, "\"slots\":24", "\"slots\":24.0"),
        with(entry, "\"state\":\"ready\"", "\"state\":\"asleep\""),
        with(entry, "\"state\":\"ready\"", "\"state\":true"),
        with(entry, "\"seq\":4", "\"seq\":\"4\""),
        with(entry, "\"seq\":4", "\"born\":1.5,\"seq\":4"),
        with(entry, "\"zone\":\"a\",", ""),
        with(entry, "[{\"name\":\"m1\"", "[{\"name\":7"),
        with(entry, "{\"in_memory\"", "5,\"x\":{\"in_memory\"")};
    for (const std::string& text : broken)
        cr_assert_not(
            decode_server("i", text).value.has_value(), "%s", text.c_str());
}

Test(report_decoder, reads_the_models_and_load_of_an_engine)
{
    const auto read = decode_report(
        R"({"stage":"mixed","models":[{"name":"m1","version":1,"adapters":[]}],
        "busy":true,"seq":2,"queued":1,"running":12,"kv_used":41000,
        "kv_total":90000,"handles":0})");
    cr_assert(read.value.has_value(), "%s", read.invalid_field.c_str());
    cr_assert(read.value->busy);
    cr_assert_eq(read.value->orders_taken, 2);
    cr_assert_eq(read.value->running, 12);
    cr_assert_eq(read.value->holdings.resident[0].name, "m1");
    cr_assert_not(decode_report("{\"busy\":1}").value.has_value());
}

Test(report_decoder, incoming_adapters_count_as_resident)
{
    const auto read = decode_report(
        R"({"models":[{"name":"m1","version":1,"adapters":["a1"]}],
        "incoming":["m1/a2@1","m9/a3@1","odd",7],
        "busy":false,"seq":2,"queued":0,"running":0})");
    cr_assert(read.value.has_value(), "%s", read.invalid_field.c_str());
    const auto& adapters = read.value->holdings.resident[0].adapters;
    cr_assert_eq(adapters.size(), 2);
    cr_assert_eq(adapters[1], "a2");
}

Test(prompt_parts, all_but_the_last_may_be_shared)
{
    const auto parts = parse_shared_prompt_parts("5c1e07a2:800, 91BD:410,e4:2");
    cr_assert_eq(parts.size(), 2);
    cr_assert_eq(parts[1], parse_shared_prompt_parts("91bd:1,0:1")[0]);
    cr_assert_neq(parts[0], parts[1]);
    cr_assert(parse_shared_prompt_parts("5c1e07a2:800").empty());
}

Test(prompt_parts, a_malformed_list_names_none)
{
    for (const std::string_view list :
         {"",
          ",",
          "1:2,",
          "1:2,,3:4",
          "1,2:3",
          "xyz:1,2:3",
          ":1,2:3",
          "1:,2:3",
          "1:-2,2:3",
          "1:99999999999,2:3"})
        cr_assert(parse_shared_prompt_parts(list).empty());
}

Test(prompt_parts, their_number_is_limited)
{
    std::string list = "1:1";
    for (int i = 0; i < 4000; ++i)
        list += ",2:1";
    cr_assert_eq(parse_shared_prompt_parts(list).size(), 1024);
}

/// Guards against parts late in a long prompt that nobody counts or asks for,
/// so that they are never blocked however many servers they crash.
Test(prompt_parts, those_late_in_a_long_prompt_are_read)
{
    constexpr std::size_t parts = 1000;
    std::string list = "1:1";
    for (std::size_t i = 1; i < parts; ++i)
        list += ",2:1";
    cr_assert_eq(
        parse_shared_prompt_parts(list + ",dead0001:10,3:1").back(),
        parse_shared_prompt_parts("dead0001:10,3:1").back());
}
