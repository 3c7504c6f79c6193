#include "tools/ctl/command.hpp"
#include "tools/ctl/plan_text.hpp"
#include "tools/ctl/publish.hpp"
#include "tools/ctl/wanted_plan.hpp"

#include <ostream>
#include <utility>

namespace roseworks::tools
{

command_result run_check(command_context& context)
{
    BOOST_LEAF_AUTO(wanted, read_wanted(context));
    // Against nothing: what holds for the text alone.
    const plan made = make_plan(fleet_state(), wanted, {});
    config_change whole;
    whole.changes = made.entity_changes();
    BOOST_LEAF_AUTO(parts, split_within_limit(std::move(whole)));
    for (const std::string& warning : made.warnings)
    {
        context.out << "warning: " << warning << '\n';
    }
    for (const std::string& problem : made.problems)
    {
        context.out << "warning: not in this file: " << problem << '\n';
    }
    context.out << "ok: " << wanted.entities.size() << " entities";
    if (parts.size() > 1)
    {
        context.out << ", published in " << parts.size() << " records";
    }
    context.out << '\n';
    return exit_code::ok;
}

command_result run_fields(command_context& context)
{
    context.out << field_reference();
    return exit_code::ok;
}

command_result run_plan(command_context& context)
{
    BOOST_LEAF_AUTO(wanted, read_wanted(context));
    BOOST_LEAF_AUTO(log, context.open_log());
    BOOST_LEAF_CHECK(log->history.load());
    BOOST_LEAF_AUTO(
        made, plan_for(log->history.state(), wanted, context.flag("prune")));
    print_changes(context.out, made);
    print_effects(context.out, made);
    return exit_code::ok;
}

} // namespace roseworks::tools
