#include "core/origins/origin_tracker.hpp"

#include <optional>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr software_version first_software(1);
constexpr service_key service(5);

/// A router that has seen one version for a minute, and another one that it
/// knows of.
struct one_router
{
    one_router()
        : tracker({.router = "r"}, this->now)
    {
        this->tracker.set_routers(
            {{"r", "10.0.0.1:1"}, {"other", "10.0.0.2:1"}}, this->now);
        const listed_software listed[] = {{service, first_software}};
        for (int i = 0; i < 60; ++i)
        {
            this->now += 1s;
            this->tracker.servers_listed(listed, this->now);
            this->tick();
        }
    }

    void tick()
    {
        this->tracker.tick(duration(500ms), this->now);
    }

    /// Asks for the origin of a stream, and waits for longer than an answer
    /// takes.
    software_version origin_of(stream_key stream)
    {
        origin_tracker::question asked;
        asked.stream = stream;
        asked.services = {service};
        this->tracker.ask(asked, duration(500ms), this->now);
        for (int i = 0; i < 100; ++i)
        {
            this->now += 10ms;
            this->tick();
        }
        const auto answers = this->tracker.take_answers();
        cr_assert_eq(answers.size(), 1);
        return answers[0].origin.software;
    }

    instant now{1000s};
    origin_tracker tracker;
};

} // namespace

/// Guards against a router that is cut off from all others taking the only
/// version that it has seen for the origin of a stream that began, a moment
/// ago, at a server of another version.
Test(origin_tracker, a_router_that_nobody_answers_knows_no_origin)
{
    one_router test;
    cr_assert_not(test.origin_of(stream_key(9)));
}

Test(origin_tracker, the_same_holds_if_the_caller_names_no_attempt)
{
    one_router test;
    cr_assert_not(test.origin_of(stream_key()));
}
