#include <roseworks/record_text.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <fstream>
#include <iterator>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks;

namespace
{

/// The problems of a text, one a line; empty when it is right.
std::string problems_of(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(parse_records(text));
            return std::string();
        },
        [](const text_problems& problems)
        {
            std::string all;
            for (const text_problem& problem : problems.all)
            {
                all += to_string(problem) + '\n';
            }
            return all;
        },
        []
        {
            return std::string("another error");
        });
}

desired_fleet parsed(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]
        {
            return parse_records(text);
        },
        []
        {
            cr_assert_fail("not parsed");
            return desired_fleet();
        });
}

std::string file(const std::string& name)
{
    std::ifstream in(std::string(ROSEWORKS_SOURCE_DIR) + '/' + name);
    cr_assert(in.good(), "%s", name.c_str());
    return {std::istreambuf_iterator<char>(in), {}};
}

constexpr std::string_view whole = R"([deployment]
schema = 2

[policy]
idle_weight = 80

[model m]
memory_mib = 100
min_replicas = 1
max_replicas = 3

[adapter a]
schema = 1
base = m
memory_mib = 10
replicas = 2

[engine e]
address = 127.0.0.1:9001
vm = b1
data_centre = nasr-hall
memory_mib = 1000
fencing = checks
checks_credential = yes

[service s]
backends = 127.0.0.1:1 b2 nasr-hall ; [::1]:2 b3 maadi-hall
repeatable = yes

[caller c]
class = urgent
weight = 7
)";

} // namespace

Test(record_text, reads_every_kind)
{
    const desired_fleet fleet = parsed(whole);
    cr_assert_eq(fleet.entities.size(), 6);
    const auto& policy = std::get<policy_spec>(
        fleet.find(entity_kind::policy, policy_name)->spec);
    cr_expect_eq(policy.idle_weight, 80);
    const auto& engine =
        std::get<engine_spec>(fleet.find(entity_kind::engine, "e")->spec);
    cr_expect(engine.fencing == fencing_kind::checks);
    cr_expect(engine.checks_credential);
    const auto& service =
        std::get<service_spec>(fleet.find(entity_kind::service, "s")->spec);
    cr_assert_eq(service.backends.size(), 2);
    cr_expect_eq(service.backends[1].address, "[::1]:2");
    const auto& caller =
        std::get<caller_spec>(fleet.find(entity_kind::caller, "c")->spec);
    cr_expect(caller.highest == priority::urgent);
    cr_expect_eq(caller.weight, 7);
}

Test(record_text, reads_schema_1_beside_2)
{
    const desired_fleet fleet = parsed(whole);
    const desired_entity& entity = *fleet.find(entity_kind::adapter, "a");
    const auto& adapter = std::get<adapter_spec>(entity.spec);
    cr_expect_eq(entity.schema, 1);
    cr_expect_eq(adapter.min_replicas, 0);
    cr_expect_eq(adapter.max_replicas, 2);
}

Test(record_text, printed_text_is_read_back)
{
    const desired_fleet fleet = parsed(whole);
    const std::string printed = print_records(fleet);
    const desired_fleet again = parsed(printed);
    cr_assert_eq(again.entities.size(), fleet.entities.size());
    for (std::size_t i = 0; i < fleet.entities.size(); ++i)
    {
        cr_expect(again.entities[i].spec == fleet.entities[i].spec);
        cr_expect_eq(again.entities[i].name, fleet.entities[i].name);
        cr_expect_eq(again.entities[i].schema, fleet.entities[i].schema);
    }
    cr_expect_eq(print_records(again), printed);
}

Test(record_text, lists_every_problem_by_line)
{
    const std::string text = "[model m]\n"
                             "memory_mib = 0\n"
                             "min_replicas = 5\n"
                             "max_replicas = 2\n"
                             "colour = red\n"
                             "[engine e]\n"
                             "address = host:80\n"
                             "vm = b1\n"
                             "data_centre = d\n"
                             "memory_mib = 10x\n"
                             "[model m]\n"
                             "[robot r]\n";
    const std::string expected =
        "1: [model m] min_replicas: above max_replicas: 5; allowed: 0 to 2\n"
        "2: [model m] memory_mib: out of range: 0; allowed: 1 to 16777216\n"
        "5: [model m] colour: unknown field; allowed: schema, version, "
        "memory_mib, min_replicas, max_replicas, accelerators, max_streams, "
        "load_estimate_ms\n"
        "7: [engine e] address: not ip:port: host:80; allowed: ip:port\n"
        "10: [engine e] memory_mib: not a whole number: 10x; allowed: 1 to "
        "16777216\n"
        "11: [model m] section stands twice\n"
        "12: [robot r] unknown kind of section; allowed: deployment, model, "
        "adapter, engine, service, caller, policy\n";
    const std::string problems = problems_of(text);
    cr_expect_eq(problems, expected, "%s", problems.c_str());
}

Test(record_text, refuses_fields_of_the_other_schema)
{
    const std::string old =
        problems_of("[model m]\nschema = 1\nmemory_mib = 1\nmin_replicas = 1");
    cr_expect(old.starts_with("4: [model m] min_replicas: not a field of "
                              "schema 1; allowed: "));
    const std::string now = problems_of("[model m]\nmemory_mib=1\nreplicas=1");
    cr_expect(now.starts_with("3: [model m] replicas: not a field of schema "
                              "3; allowed: "));
}

Test(record_text, refuses_missing_and_double_fields)
{
    cr_expect_eq(
        problems_of("[adapter a]\nmemory_mib = 1\nmemory_mib = 2"),
        "1: [adapter a] base: is missing; allowed: 1 to 64 letters, digits, "
        "`.`, `_` or `-`\n"
        "3: [adapter a] memory_mib: stands twice; first in line 2\n");
    cr_expect_eq(problems_of("x = 1"), "1: x: stands before any section\n");
}

Test(record_text, hostile_text_is_refused_not_a_crash)
{
    for (const std::string_view text :
         {"[",
          "[]",
          "[ ]",
          "]",
          "=",
          "[model ]",
          "[model\tm",
          "[policy p]",
          "[service s]\nbackends = ;;;",
          "[service s]\nbackends = a b c d e",
          "[deployment]\nschema = 99999999999999999999",
          "[model \xff]"})
    {
        cr_expect(!problems_of(text).empty(), "%s", std::string(text).c_str());
    }
    const std::string zeros(3, '\0');
    cr_expect(!problems_of(zeros).empty());
}

Test(record_text, the_examples_are_right)
{
    for (const char* name :
         {"examples/consortium.ini", "examples/cooperative.ini"})
    {
        const std::string problems = problems_of(file(name));
        cr_expect(problems.empty(), "%s: %s", name, problems.c_str());
    }
}

Test(record_text, the_page_is_in_step_with_the_table)
{
    cr_expect(
        file("docs/RECORDS.md") == field_reference(),
        "run `roseworksctl fields > docs/RECORDS.md`");
}

Test(record_text, a_policy_names_its_strategy_from_schema_3_on)
{
    const desired_fleet fleet =
        parsed("[policy]\nschema = 3\nstrategy = gap_cost_preload\n"
               "hold_ms = 240000\n");
    const desired_entity& entity =
        *fleet.find(entity_kind::policy, policy_name);
    const auto& policy = std::get<policy_spec>(entity.spec);
    cr_expect_eq(entity.schema, 3);
    cr_expect(policy.strategy == placement_kind::gap_cost_preload);
    cr_expect_eq(policy.hold_ms, 240'000);
    const desired_fleet old = parsed(whole);
    const auto& before =
        std::get<policy_spec>(old.find(entity_kind::policy, policy_name)->spec);
    cr_expect(before.strategy == placement_kind::unset);
}
