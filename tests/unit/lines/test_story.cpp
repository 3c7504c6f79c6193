#include "lines_fixture.hpp"
#include "tools/lines/request_story.hpp"

#include <sstream>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks::tools;
using namespace roseworks::tools::tests;

namespace
{

std::string told(const std::string& id)
{
    const auto lines = recorded_lines();
    request_story story(id);
    for (const log_line& line : lines)
        story.learn(line);
    for (const log_line& line : lines)
        story.take(line);
    std::ostringstream out;
    story.print(out);
    return out.str();
}

bool holds(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

/// Both count the same cause for each request of a recorded day.
Test(story, shows_the_cause_that_losses_counts)
{
    const auto lines = recorded_lines();
    fleet_context fleet;
    for (const log_line& line : lines)
        fleet.take(line);
    for (const log_line& line : lines)
    {
        if (!tells_of_request(line))
            continue;
        const std::string id(line.text("request_id"));
        const auto loss = find_loss(line, fleet);
        const std::string cause =
            "cause: " + std::string(to_string(loss->kind)) + ", " +
            std::string(to_string(loss->cause));
        cr_assert(holds(told(id), cause), "%s", id.c_str());
    }
}

Test(story, tells_orders_and_owner_in_order_of_time)
{
    const std::string text = told("81564060a4d365bf");
    const std::size_t owner = text.find("took placement over");
    const std::size_t unload =
        text.find("i-228a4ad1a5 was told to unload wuka9336d1");
    const std::size_t came = text.find("the request came, for wuka9336d1");
    const std::size_t end = text.find("the request ended: refused");
    cr_assert_lt(owner, unload);
    cr_assert_lt(unload, came);
    cr_assert_lt(came, end);
    cr_assert(holds(text, "was sent 3 times, last to i-228a4ad1a5"));
}

Test(story, leaves_out_what_is_about_others)
{
    cr_assert(!holds(told("81564060a4d365bf"), "xalo45aadf"));
}

Test(story, says_that_nothing_is_known)
{
    cr_assert(holds(told("0000000000000000"), "no line tells"));
}
