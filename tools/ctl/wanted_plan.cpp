#include "tools/ctl/wanted_plan.hpp"

namespace roseworks::tools
{

boost::leaf::result<desired_fleet> read_wanted(const command_context& context)
{
    BOOST_LEAF_AUTO(path, context.argument("file"));
    BOOST_LEAF_AUTO(text, read_file(path));
    return parse_records(text);
}

boost::leaf::result<plan>
plan_for(const fleet_state& state, const desired_fleet& wanted, bool prune)
{
    plan made = make_plan(state, wanted, {prune});
    if (made.problems.empty())
    {
        return made;
    }
    std::string all;
    for (const std::string& problem : made.problems)
    {
        all += all.empty() ? "" : "\n";
        all += problem;
    }
    return boost::leaf::new_error(input_error{std::move(all)});
}

} // namespace roseworks::tools
