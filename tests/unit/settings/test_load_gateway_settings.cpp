#include "adapters/settings/load_gateway_settings.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks::settings;
namespace leaf = boost::leaf;

namespace
{

const std::string complete = R"([vm]
name = edge-a-1
data_centre = a
cores = 0.12
link_mbps = 10.0
first_start = true

[listen]
requests = 10.1.0.38:8149
readiness = 10.1.0.38:8141
peers = 10.1.0.38:7380
metrics = 10.1.0.38:7381

[store]
address = 10.200.1.7:8142
shortest_term_ms = 1000

[bounds]
grace_s = 8
leaving_ms = 2000
heartbeat_ms = 1200
lease_ms = 3000
fences_checked = true
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 58
load_window_s = 5
load_factor = 1.1
limit_window_s = 8
limit_excess = 0.1
limit_slack = 110000
)";

std::string replace_in_complete(std::string_view from, std::string_view to)
{
    std::string text = complete;
    const auto position = text.find(from);
    cr_assert_neq(position, std::string::npos);
    return text.replace(position, from.size(), to);
}

std::string problems_of(const std::string& text)
{
    std::istringstream in(text);
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(load_gateway_settings(in, "test.ini"));
            return std::string();
        },
        [](const settings_problems& problems)
        {
            std::ostringstream out;
            out << problems;
            return out.str();
        },
        []
        {
            return std::string("unknown");
        });
}

gateway_settings load(const std::string& text)
{
    std::istringstream in(text);
    auto read = load_gateway_settings(in, "test.ini");
    cr_assert(static_cast<bool>(read));
    return read.value();
}

} // namespace

Test(gateway_settings, reads_the_values_of_the_deployment)
{
    const gateway_settings read = load(complete);
    cr_assert_eq(read.vm.name, "edge-a-1");
    cr_assert_float_eq(read.vm.cores, 0.12, 1e-9);
    cr_assert(read.vm.first_start);
    cr_assert_eq(read.listen.peers.port, 7380);
    cr_assert_eq(read.bounds.grace.count(), 8000);
    cr_assert_float_eq(read.bounds.retry_extra, 58, 1e-9);
    cr_assert(read.bounds.fences_checked);
    cr_assert_eq(read.bounds.limit_window.count(), 8000);
    cr_assert_float_eq(read.bounds.limit_excess, 0.1, 1e-9);
    cr_assert_float_eq(read.bounds.limit_slack, 110'000, 1e-9);
    cr_assert_eq(read.log.lines_per_second, 400);
}

/// A deployment that does not define a bound leaves its value empty.
Test(gateway_settings, empty_value_selects_the_default)
{
    const gateway_settings read =
        load(replace_in_complete("lease_ms = 3000", "lease_ms ="));
    cr_assert_eq(read.bounds.lease.count(), 3000);
    cr_assert_eq(
        problems_of(replace_in_complete("grace_s = 8", "grace_s = 8.5")), "");
    const auto bounds =
        load(replace_in_complete("limit_slack = 110000", "limit_slack ="))
            .bounds;
    cr_assert_eq(bounds.limit_slack, 0);
}

/// Engines must not be assumed to check fencing tokens: an owner that relies on
/// such a check would keep sending orders after its term, concurrently with its
/// successor.
Test(gateway_settings, fences_are_unchecked_unless_the_settings_enable_them)
{
    const std::string line = "fences_checked = true";
    cr_assert_not(load(replace_in_complete(line, "fences_checked ="))
                      .bounds.fences_checked);
    cr_assert_not(
        load(replace_in_complete(line + "\n", "")).bounds.fences_checked);
    cr_assert_not(gateway_settings().bounds.fences_checked);
}

Test(gateway_settings, reports_problems)
{
    cr_assert_neq(
        problems_of(replace_in_complete("name = edge-a-1", "nome = x")), "");
    cr_assert_neq(
        problems_of(replace_in_complete("lease_ms = 3000", "lease_ms = -1")),
        "");
    cr_assert_neq(problems_of(replace_in_complete("= 0.2", "= much")), "");
    cr_assert_neq(problems_of(replace_in_complete("= 0.2", "= -0.2")), "");
    cr_assert_neq(
        problems_of(replace_in_complete("10.200.1.7:8142", "store:8142")), "");
    cr_assert_neq(
        problems_of(replace_in_complete("= true\nretry", "= maybe\nretry")),
        "");
    cr_assert_neq(problems_of(complete + "lease_ms = 5\n"), "");
    const std::string text =
        problems_of(replace_in_complete("data_centre = a\n", ""));
    cr_assert_neq(
        text.find("data_centre"), std::string::npos, "%s", text.c_str());
}

Test(gateway_settings, committed_reference_is_current)
{
    std::ifstream file(ROSEWORKS_SOURCE_DIR "/docs/SETTINGS-gateway.md");
    const std::string committed(
        std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>{});
    cr_assert_eq(
        committed,
        gateway_reference(),
        "run: settings-reference gateway > docs/SETTINGS-gateway.md");
}

Test(gateway_settings, the_relay_port_lies_above_that_of_the_peers)
{
    const gateway_settings without = load(complete);
    cr_assert_eq(without.listen.relay().port, 0, "connections aren't relayed");
    const gateway_settings with = load(replace_in_complete(
        "peers = 10.1.0.38:7380", "peers = 10.1.0.38:7380\nrelay_offset = 1"));
    cr_assert_eq(with.listen.relay().to_string(), "10.1.0.38:7381");
}
