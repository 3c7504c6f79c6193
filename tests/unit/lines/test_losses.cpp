#include "lines_fixture.hpp"
#include "tools/lines/loss_table.hpp"

#include <map>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks::tools;
using namespace roseworks::tools::tests;

namespace
{

/// As read from the lines by hand.
const std::map<std::string_view, loss_cause> causes{
    {"014137c2513a803f", loss_cause::model_unloaded},
    {"3554013823cf3113", loss_cause::load_from_disk},
    {"81564060a4d365bf", loss_cause::model_unloaded},
    {"8da0a74a23c5fa33", loss_cause::server_slow},
    {"942e9c69f5ceecde", loss_cause::server_failed},
    {"97039ef0bdddf6bf", loss_cause::model_unloaded},
    {"a7f62f62f1a2074d", loss_cause::model_unloaded},
    {"b479970be0c3063e", loss_cause::model_unloaded},
    {"c9e21dfbb7d9bf02", loss_cause::model_unloaded},
    {"d056da1b5f7bd747", loss_cause::server_slow}};

fleet_context context_of(const std::vector<log_line>& lines)
{
    fleet_context fleet;
    for (const log_line& line : lines)
        fleet.take(line);
    return fleet;
}

request_loss loss_of(std::string_view fields, const fleet_context& fleet = {})
{
    return find_loss(line_of("request_ended", fields), fleet).value();
}

} // namespace

Test(losses, each_of_ten_recorded_requests_has_its_cause)
{
    const auto lines = recorded_lines();
    const fleet_context fleet = context_of(lines);
    std::size_t found = 0;
    for (const log_line& line : lines)
    {
        if (!tells_of_request(line))
            continue;
        const auto loss = find_loss(line, fleet);
        const std::string id(line.text("request_id"));
        cr_assert(loss.has_value(), "%s", id.c_str());
        cr_assert(loss->cause == causes.at(id), "%s", id.c_str());
        ++found;
    }
    cr_assert_eq(found, causes.size());
}

Test(losses, what_was_in_time_is_not_lost)
{
    const fleet_context none;
    const auto in_time = line_of(
        "request_served",
        R"("route":"a","end":"passed_on","status":200,"objective_ms":400,)"
        R"("first_ms":399,"total_ms":5000)");
    cr_assert(!find_loss(in_time, none));
    const auto late = line_of(
        "request_served",
        R"("route":"a","end":"passed_on","status":200,"objective_ms":400,)"
        R"("first_ms":0,"total_ms":401)");
    cr_assert(find_loss(late, none)->kind == loss_kind::late);
}

Test(losses, reasons_lead_to_causes)
{
    using enum loss_cause;
    const std::pair<std::string, loss_cause> cases[] = {
        {"log_unavailable", no_owner},
        {"retries_exhausted", retry_budget},
        {"caller_limit", limits},
        {"organisation_limit", limits},
        {"blocked", blocked},
        {"draining", router_stopped},
        {"backend_failed", server_failed},
        {"backend_timeout", server_slow},
        {"deadline", no_copy},
        {"key_reused", other}};
    for (const auto& [reason, cause] : cases)
    {
        const request_loss loss = loss_of(
            R"("route":"a","end":"refused","status":503,"sends":0,"reason":")" +
            reason + "\"");
        cr_assert(loss.kind == loss_kind::refused);
        cr_assert(loss.cause == cause, "%s", reason.c_str());
    }
}

Test(losses, a_wait_is_put_down_to_the_load_that_it_was_for)
{
    using enum loss_cause;
    const std::pair<std::string, loss_cause> cases[] = {
        {"store", load_from_store},
        {"disk", load_from_disk},
        {"memory", load_from_memory}};
    for (const auto& [source, cause] : cases)
    {
        fleet_context fleet;
        fleet.take(line_of(
            "engine_ordered",
            R"("action":"load","model":"m1","engine":"e1","source":")" +
                source + "\""));
        const request_loss loss = loss_of(
            R"("route":"a","servable":"m1/a2","end":"refused","sends":0,)"
            R"("reason":"deadline","total_ms":900,"wait_ms":900)",
            fleet);
        cr_assert(loss.cause == cause, "%s", source.c_str());
    }
}

Test(losses, a_cut_answer_is_put_down_to_its_servers_end)
{
    using enum loss_cause;
    constexpr std::string_view cut =
        R"("route":"a","end":"broken_off","sends":1,"server":"e1",)"
        R"("reason":"stream_cut","total_ms":900)";
    fleet_context gone;
    gone.take(line_of("server_gone", R"("server":"e1")"));
    fleet_context unreached;
    unreached.take(line_of("engine_unreached", R"("engine":"e1")"));
    cr_assert(loss_of(cut, gone).cause == server_gone);
    cr_assert(loss_of(cut, unreached).cause == server_unreachable);
    cr_assert(loss_of(cut).cause == server_failed);
}

Test(losses, what_no_route_was_for_is_not_owed)
{
    cr_assert(!tells_of_request(
        line_of("request_ended", R"("route":"","reason":"bad_request")")));
    cr_assert(!tells_of_request(line_of("server_gone", R"("server":"e1")")));
}

Test(losses, the_table_counts_by_route_and_window_and_says_what_is_missing)
{
    const fleet_context none;
    loss_table table({1000, {{"a", 2.5}}});
    table.unreadable_line();
    table.take(
        line_of("lines_left_out", R"("over_limit":3,"not_taken":4)"), none);
    log_line lost = line_of(
        "request_ended", R"("route":"a","end":"refused","reason":"blocked")");
    table.take(lost, none);
    lost.at_ms += 1500;
    table.take(lost, none);
    table.take(lost, none);
    const auto json = table.to_json();
    const auto& rows = json.at("lost").as_array();
    cr_assert_eq(rows.size(), 2);
    cr_assert_eq(rows[0].at("requests").to_number<int>(), 1);
    cr_assert_eq(rows[1].at("from_ms").to_number<int>(), 1000);
    cr_assert_eq(rows[1].at("requests").to_number<int>(), 2);
    cr_assert_eq(rows[1].at("worth").to_number<double>(), 5.0);
    cr_assert(rows[1].at("cause").as_string() == "blocked");
    cr_assert_eq(json.at("unreadable_lines").to_number<int>(), 1);
    cr_assert_eq(json.at("left_out_lines").to_number<int>(), 7);
    std::ostringstream text;
    table.print(text);
    cr_assert(
        text.str().find("lines that the routers left out: 7") !=
        std::string::npos);
}

Test(log_line, what_a_collector_wrote_before_is_passed_over)
{
    const auto line = parse_log_line(
        R"(  0.5 vm-7 {"time":12.25,"vm":"r1","name":"x","fields":{"n":3}})");
    cr_assert(line.has_value());
    cr_assert_eq(line->at_ms, 12'250);
    cr_assert_eq(line->number("n"), 3);
    cr_assert_eq(line->number("other"), 0);
    cr_assert(line->text("n").empty());
}

Test(log_line, what_holds_no_event_is_none)
{
    for (const char* text :
         {"",
          "words",
          "{",
          "{}",
          R"({"time":"x","vm":"r1","name":"y"})",
          R"({"time":1.0,"vm":7,"name":"y"})"})
        cr_assert(!parse_log_line(text), "%s", text);
}
