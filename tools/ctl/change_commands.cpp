#include "tools/common/trail.hpp"
#include "tools/ctl/plan_text.hpp"
#include "tools/ctl/publish.hpp"
#include "tools/ctl/router_wait.hpp"
#include "tools/ctl/wanted_plan.hpp"

#include <charconv>
#include <optional>
#include <ostream>

namespace roseworks::tools
{

namespace
{

boost::leaf::error_id bad_input(std::string what)
{
    return boost::leaf::new_error(input_error{std::move(what)});
}

exit_code wait_until_in_force(
    command_context& context,
    const tls::context_source* secured,
    std::span<const endpoint> routers,
    log_offset offset)
{
    const bool everywhere = wait_for_routers(
        routers, offset, context.timeout(), secured, context.out);
    return everywhere ? exit_code::ok : exit_code::not_in_force;
}

/// @return Empty unless the text is hex digits of a fingerprint.
std::optional<fingerprint> parse_fingerprint(const std::string& text)
{
    constexpr int hexadecimal = 16;
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] =
        std::from_chars(text.data(), end, value, hexadecimal);
    if (failure != std::errc() || stop != end || value == 0)
    {
        return std::nullopt;
    }
    return fingerprint(value);
}

/// Sessions that run under a router's name, as far as the log knows.
std::vector<session_id>
live_sessions(const fleet_state& state, std::string_view router)
{
    std::vector<session_id> found;
    state.for_each_session(
        [&](const session_view& session)
        {
            if (!session.ended && session.name == router)
            {
                found.push_back(session.id);
            }
        });
    return found;
}

/// Whether an entity to change was changed after the offset planned at, by
/// somebody whose change the operator has not seen; prints the winner.
bool changed_since(
    command_context& context,
    const log_history& history,
    const plan& made,
    std::uint64_t planned_at)
{
    bool changed = false;
    for (const planned_change& step : made.changes)
    {
        const revision now = step.change.expected;
        if (now.value <= planned_at)
        {
            continue;
        }
        changed = true;
        context.out << "not published: " << to_string(step.change.kind) << ' '
                    << step.change.name << " was changed since\n";
        print_winner(context.out, history, log_offset(now.value));
    }
    return changed;
}

} // namespace

command_result run_apply(command_context& context)
{
    BOOST_LEAF_AUTO(routers, parse_endpoints(context.text("wait-routers")));
    BOOST_LEAF_AUTO(secured, context.router_tls());
    BOOST_LEAF_AUTO(wanted, read_wanted(context));
    BOOST_LEAF_AUTO(log, context.open_log());
    BOOST_LEAF_CHECK(log->history.load());
    const fleet_state& state = log->history.state();
    BOOST_LEAF_AUTO(made, plan_for(state, wanted, context.flag("prune")));
    print_changes(context.out, made);
    if (made.changes.empty())
    {
        context.out << "nothing to change\n";
        return wait_until_in_force(context, secured.get(), routers, made.at);
    }
    print_effects(context.out, made);
    if (!context.text("planned-at").empty())
    {
        BOOST_LEAF_AUTO(planned_at, context.number("planned-at"));
        if (changed_since(context, log->history, made, planned_at))
        {
            return exit_code::rejected;
        }
    }
    BOOST_LEAF_AUTO(
        published, publish_changes(context, *log, made.entity_changes()));
    if (code_of(published) != exit_code::ok)
    {
        return code_of(published);
    }
    return wait_until_in_force(
        context, secured.get(), routers, published.offset);
}

command_result run_drain(command_context& context)
{
    BOOST_LEAF_AUTO(name, context.argument("engine"));
    BOOST_LEAF_AUTO(log, context.open_log());
    BOOST_LEAF_CHECK(log->history.load());
    const fleet_state& state = log->history.state();
    auto spec = state.entity(entity_kind::engine, name);
    if (!spec)
    {
        return bad_input("no such engine: " + name);
    }
    engine_spec& engine = std::get<engine_spec>(*spec);
    const bool wanted = !context.flag("undo");
    if (engine.draining == wanted)
    {
        context.out << "nothing to change\n";
        return exit_code::ok;
    }
    engine.draining = wanted;
    entity_change change;
    change.kind = entity_kind::engine;
    change.name = name;
    change.expected = state.entity_revision(entity_kind::engine, name);
    change.spec = std::move(spec);
    BOOST_LEAF_AUTO(published, publish_changes(context, *log, {change}));
    return code_of(published);
}

command_result run_unblock(command_context& context)
{
    BOOST_LEAF_AUTO(text, context.argument("fingerprint"));
    const std::optional<fingerprint> request = parse_fingerprint(text);
    if (!request)
    {
        return bad_input("not a fingerprint in hex digits: " + text);
    }
    BOOST_LEAF_AUTO(log, context.open_log());
    BOOST_LEAF_CHECK(log->history.load());
    if (log->history.state().recorded_crashes(*request) == 0)
    {
        return bad_input("not suspect: " + text);
    }
    request_unblock unblock{*request, context.text("author")};
    BOOST_LEAF_AUTO(
        published, publish_and_print(context, *log, std::move(unblock)));
    return code_of(published);
}

command_result run_gone(command_context& context)
{
    BOOST_LEAF_AUTO(router, context.argument("router"));
    const std::string evidence = context.text("evidence");
    if (evidence.empty())
    {
        return bad_input("--evidence is missing: how is it known?");
    }
    BOOST_LEAF_AUTO(log, context.open_log());
    BOOST_LEAF_CHECK(log->history.load());
    const auto sessions = live_sessions(log->history.state(), router);
    if (sessions.empty())
    {
        return bad_input("no running session of router " + router);
    }
    const std::string proof = context.text("author") + ": " + evidence;
    exit_code worst = exit_code::ok;
    for (const session_id session : sessions)
    {
        context.out << session_name(log->history.state(), session) << ": ";
        BOOST_LEAF_AUTO(
            published,
            publish_and_print(context, *log, router_gone{session, proof}));
        worst = std::max(worst, code_of(published));
    }
    return worst;
}

} // namespace roseworks::tools
