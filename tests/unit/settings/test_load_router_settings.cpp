#include "adapters/settings/load_router_settings.hpp"
#include "adapters/settings/settings_table.hpp"
#include "adapters/settings/value_parser.hpp"
#include "adapters/settings/write_reference.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <fstream>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::settings;
using namespace std::chrono_literals;

const std::string minimal = "[router]\nname = r1\ndata_centre = colombo-a\n"
                            "listen = 127.0.0.1:0\n"
                            "[peers]\nlisten = [::1]:0\n"
                            "[log]\naddress = 127.0.0.1:9000\n";

/// The loaded settings, or the problems as text.
struct outcome
{
    router_settings settings;
    std::string problems;
};

outcome load(const std::string& text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<outcome>
        {
            std::istringstream in(text);
            BOOST_LEAF_AUTO(settings, load_router_settings(in, "r.ini"));
            return outcome{std::move(settings), ""};
        },
        [](const settings_problems& problems)
        {
            std::ostringstream out;
            out << problems;
            return outcome{{}, out.str()};
        },
        []()
        {
            return outcome{{}, "an error without problems"};
        });
}

std::string problems_of(const std::string& text)
{
    return load(text).problems;
}

void expect_problem(const std::string& added, const std::string& expected)
{
    const std::string found = problems_of(minimal + added);
    cr_expect(
        found == expected,
        "expected: %sfound: %s",
        expected.c_str(),
        found.c_str());
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace

Test(settings, takes_defaults)
{
    const auto [settings, problems] = load(minimal);
    cr_assert(problems.empty(), "%s", problems.c_str());
    cr_expect(settings.router.name == "r1");
    cr_expect((settings.router.listen == socket_address{"127.0.0.1", 0}));
    cr_expect(settings.router.traffic_threads == 2);
    cr_expect(settings.peers.listen.to_string() == "[::1]:0");
    cr_expect(settings.peers.seeds.empty());
    cr_expect(!settings.vm_list.address);
    cr_expect(settings.log.max_batch_bytes == 262144);
    cr_expect(settings.leases.term == 30s);
    cr_expect(settings.traffic.max_body_bytes == 8u << 20);
    cr_expect(settings.placement.strategy == placement_kind::break_even);
    cr_expect_eq(settings.grants.memory_mib, 0, "no grant unless asked for");
    cr_expect(settings.grants.term == 30min);
    cr_expect(settings.logging.level == roseworks::event_level::info);
    cr_expect(settings.logging.file.empty());
}

Test(settings, takes_given_values)
{
    const auto [settings, problems] = load(
        minimal + "# comment\n[vm_list]\r\naddress = 10.0.0.9:81\r\n"
                  "; comment\n[placement]\nstrategy=gap_cost\n"
                  "[logging]\nlevel = error\nformat = json\nfile =\n"
                  "[engines]\ncredentials_file = /run/a key\n");
    cr_assert(problems.empty(), "%s", problems.c_str());
    cr_expect((settings.vm_list.address == socket_address{"10.0.0.9", 81}));
    cr_expect(settings.placement.strategy == placement_kind::gap_cost);
    cr_expect(settings.logging.level == roseworks::event_level::error);
    cr_expect(settings.logging.format == roseworks::events::line_format::json);
    cr_expect(settings.engines.credentials_file == "/run/a key");
}

Test(settings, takes_a_list_of_addresses)
{
    std::string text = minimal;
    text.insert(text.find("[log]"), "seeds = 10.0.0.1:7000 ,[fd00::1]:7001\n");
    const auto [settings, problems] = load(text);
    cr_assert(problems.empty(), "%s", problems.c_str());
    cr_assert(settings.peers.seeds.size() == 2);
    cr_expect((settings.peers.seeds[1] == socket_address{"fd00::1", 7001}));
}

Test(settings, lists_every_problem_by_line)
{
    const std::string found = problems_of("stray = 1\n"
                                          "[router]\n"
                                          "name = has space\n"
                                          "traffic_threads = 65\n"
                                          "nonsense\n"
                                          "[peers]\n"
                                          "listen = db.local:7000\n"
                                          "seeds = 10.0.0.1:0\n"
                                          "[log]\n"
                                          "address = 127.0.0.1:9000\n"
                                          "address = 127.0.0.1:9001\n"
                                          "poll_wait_ms = 1s\n"
                                          "[lease]\n"
                                          "term_ms = 5\n"
                                          "[log]\n");
    const std::string expected =
        "r.ini:1: stray: key outside a section\n"
        "r.ini:3: [router] name: not a name: \"has space\"; allowed: 1 to 64 "
        "letters, digits, '.', '_' and '-'\n"
        "r.ini:4: [router] traffic_threads: out of range: \"65\"; allowed: 1 "
        "to 64 threads\n"
        "r.ini:5: [router]: '=' character not found in line; allowed: "
        "[section], key = value, or a comment after ';' or '#'\n"
        "r.ini:7: [peers] listen: not an IP address and port (host names are "
        "not resolved): \"db.local:7000\"; allowed: an IP address and port, "
        "such as 10.0.0.1:7000 or [fd00::1]:7000, port 0 to 65535\n"
        "r.ini:8: [peers] seeds: cannot connect to port 0: "
        "\"10.0.0.1:0\"; allowed: IP addresses and ports separated by commas, "
        "port 1 to 65535\n"
        "r.ini:11: [log] address: duplicate, first on line 10\n"
        "r.ini:12: [log] poll_wait_ms: not an integer: \"1s\"; allowed: 10 "
        "to 60000 ms\n"
        "r.ini:13: [lease]: unknown section; allowed: router, peers, log, "
        "vm_list, leases, traffic, engines, placement, grants, tls, "
        "backend_tls, platform_tls, operators, logging\n"
        "r.ini:15: [log]: duplicate, first on line 9\n"
        "r.ini: [router] data_centre: required key is missing; allowed: 1 to "
        "64 letters, digits, '.', '_' and '-'\n"
        "r.ini: [router] listen: required key is missing; allowed: an IP "
        "address and port, such as 10.0.0.1:7000 or [fd00::1]:7000, port 0 to "
        "65535\n";
    cr_expect(found == expected, "found:\n%s", found.c_str());
}

Test(settings, refuses_unknown_keys_and_words)
{
    expect_problem(
        "[leases]\nterm = 1\n",
        "r.ini:10: [leases] term: unknown key; allowed: term_ms, renew_ms, "
        "margin_ms\n");
    expect_problem(
        "[placement]\nstrategy = lru\n",
        "r.ini:10: [placement] strategy: not one of the allowed values: "
        "\"lru\"; "
        "allowed: fixed_ttl, break_even, gap_cost, gap_cost_preload\n");
    expect_problem(
        "[placement]\nstrategy =\n",
        "r.ini:10: [placement] strategy: the value is empty; allowed: "
        "fixed_ttl, break_even, gap_cost, gap_cost_preload\n");
}

Test(settings, refuses_malformed_sections)
{
    const std::string tail = "; allowed: [section], key = value, or a comment "
                             "after ';' or '#'\n";
    expect_problem(
        "[leases\nterm_ms = 1\n", "r.ini:9: [log]: unmatched '['" + tail);
    expect_problem(
        "[leases] x\n",
        "r.ini:9: [leases]: unexpected text after the section's ']'" + tail);
}

Test(settings, checks_keys_against_each_other)
{
    expect_problem(
        "[leases]\nrenew_ms = 27000\n",
        "r.ini:10: [leases] renew_ms: conflicts with the other keys; "
        "allowed: renew_ms + margin_ms is less than term_ms\n");
    expect_problem(
        "[traffic]\nmax_queued = 10\n",
        "r.ini:10: [traffic] max_queued: conflicts with the other keys; "
        "allowed: max_queued_per_model is at most max_queued\n");
}

Test(settings, refuses_files_it_cannot_read)
{
    for (const std::string path : {"/nonexistent/r.ini", "/"})
    {
        const bool refused = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool>
            {
                BOOST_LEAF_CHECK(load_router_settings(path));
                return false;
            },
            [&](const settings_problems& problems)
            {
                return problems.all.size() == 1 && problems.all[0].file == path;
            },
            []()
            {
                return false;
            });
        cr_expect(refused, "%s", path.c_str());
    }
    cr_expect(
        problems_of(std::string((1 << 20) + 1, '\n')) ==
        "r.ini: larger than 1048576 bytes\n");
}

Test(settings, reads_ip_addresses_only)
{
    for (const char* const text :
         {"localhost:1",
          "127.0.0.1",
          "127.0.0.1:",
          "127.0.0.1:65536",
          "127.0.0.1:-1",
          "127.1:80",
          "::1:80",
          "[::1]",
          "[127.0.0.1]:80",
          ":80",
          ""})
    {
        cr_expect(!socket_address::parse(text), "%s", text);
    }
    const auto ipv6 = socket_address::parse("[0:0::1]:65535");
    cr_assert(ipv6.has_value());
    cr_expect(ipv6->to_string() == "[::1]:65535");
}

Test(settings, every_default_is_allowed)
{
    for (const setting_row& row : setting_rows())
    {
        cr_expect(is_section(row.section));
        cr_expect(find_row(row.section, row.key) == &row);
        if (!row.default_value || row.default_value->empty())
            continue;
        const auto parsed = parse_value(row, *row.default_value);
        cr_expect(parsed.value.has_value(), "%s", row.key.data());
    }
    for (const setting_rule& rule : setting_rules())
    {
        for (const std::string_view key : rule.keys)
            cr_expect(key.empty() || find_row(rule.section, key));
    }
}

Test(settings, certificate_and_key_must_be_set_together)
{
    expect_problem(
        "[tls]\nkey_file = k.pem\n",
        "r.ini:10: [tls] key_file: conflicts with the other keys; allowed: "
        "certificate_file and key_file are both set or both unset\n");
}

Test(settings, client_certificate_requires_key_and_ca)
{
    for (const std::string section : {"backend_tls", "platform_tls"})
    {
        expect_problem(
            "[" + section + "]\nca_file = ca.pem\ncertificate_file = c.pem\n",
            "r.ini:11: [" + section +
                "] certificate_file: conflicts with the other keys; allowed: "
                "certificate_file and key_file are both set or both unset\n");
        expect_problem(
            "[" + section + "]\ncertificate_file = c.pem\nkey_file = k.pem\n",
            "r.ini:10: [" + section +
                "] certificate_file: conflicts with the other keys; allowed: "
                "certificate_file is set only together with ca_file\n");
    }
}

Test(settings, committed_reference_is_current)
{
    std::ostringstream written;
    write_reference(written);
    const std::string committed =
        read_file(ROSEWORKS_SOURCE_DIR "/docs/SETTINGS.md");
    cr_expect(
        committed == written.str(),
        "run: settings-reference > docs/SETTINGS.md");
}

Test(settings, example_of_the_reference_loads)
{
    std::ostringstream written;
    write_reference(written);
    const std::string page = written.str();
    const std::string fence = "```ini\n";
    const auto first = page.find(fence) + fence.size();
    const auto last = page.find("```", first);
    const auto problems = problems_of(page.substr(first, last - first));
    cr_expect(problems.empty(), "%s", problems.c_str());
}
