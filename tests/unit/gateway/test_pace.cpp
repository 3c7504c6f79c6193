#include "adapters/peers/message_archive.hpp"
#include "core/crashes/server_life.hpp"
#include "core/pace/pace_observer.hpp"
#include "placement_fixture.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <optional>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;
using namespace roseworks::app::tests;

namespace
{

template <class Message>
std::string encoded(const Message& message)
{
    std::ostringstream text;
    cereal::PortableBinaryOutputArchive archive(text);
    archive(message);
    return text.str();
}

template <class Message>
Message decoded(const std::string& text)
{
    Message message;
    message_archive archive(text);
    archive(message);
    return message;
}

/// Lets three routers report that an engine takes some time for an event.
void report_pace(
    placement_fixture& fleet, std::size_t engine, std::uint64_t event_us)
{
    static std::uint64_t sequence = 0;
    const std::string id = "e" + std::to_string(engine);
    const std::int64_t born =
        fleet.view.servers().find(id)->second.entry.born_ms;
    for (const char* router : {"r1", "r2", "r3"})
    {
        router_report message;
        message.router = router;
        message.sequence = ++sequence;
        message.pace_samples = {
            {life_of(id, born).value,
             pace_model("llm/m0"),
             100,
             100 * event_us}};
        fleet.controller.handle_router_report(message);
    }
}

/// Runs until the pace of an engine was announced.
/// @return The pace; empty if none was announced within some seconds.
std::optional<std::uint32_t>
announced_pace(placement_fixture& fleet, const std::string& engine)
{
    constexpr int max_handlers = 400;
    for (int i = 0; i < max_handlers; ++i)
    {
        fleet.clock.time += 20ms;
        fleet.run_handlers(1);
        for (const owner_announcement& one : fleet.announcements)
        {
            for (std::size_t k = 0; k < one.paces.size(); ++k)
            {
                if (one.engines[k].engine == engine && one.paces[k] != 0)
                    return one.paces[k];
            }
        }
        fleet.announcements.clear();
    }
    return std::nullopt;
}

} // namespace

/// The owner must announce what it estimates, for the present run only.
Test(pace_owner, announces_the_pace_of_engines)
{
    placement_controller::options settings;
    settings.estimates_pace = true;
    placement_fixture fleet(4, settings);
    fleet.controller.start();
    fleet.acquire_ownership(1, {"m0"});
    report_pace(fleet, 1, 36'000);
    for (const std::size_t engine : {2, 3, 4})
        report_pace(fleet, engine, 17'000);
    const auto slow = announced_pace(fleet, "e1");
    cr_assert(slow.has_value());
    cr_expect_gt(*slow, 125U);
    cr_expect_eq(fleet.controller.paced_engines(pace_class::slow), 1U);
    fleet.controller.tenure_changed(std::nullopt);
    cr_expect_eq(fleet.controller.paced_engines(pace_class::slow), 0U);
}

/// With the setting off, announcements must stay as they are.
Test(pace_owner, announces_no_pace_when_switched_off)
{
    placement_fixture fleet(2);
    fleet.controller.start();
    fleet.acquire_ownership(1, {"m0"});
    report_pace(fleet, 1, 36'000);
    report_pace(fleet, 2, 17'000);
    cr_expect_not(announced_pace(fleet, "e1").has_value());
}

/// Routers of the earlier version must be able to read and write the messages.
Test(pace_messages, new_fields_are_left_out_when_empty)
{
    router_report report;
    report.router = "r1";
    report.unreachable_engines = {"e1"};
    const std::string without = encoded(report);
    report.pace_samples = {{7, 8, 9, 10}};
    const std::string with = encoded(report);
    cr_expect(with.starts_with(without));
    cr_expect_gt(with.size(), without.size());
    cr_expect(decoded<router_report>(without).pace_samples.empty());
    const auto read = decoded<router_report>(with);
    cr_assert_eq(read.pace_samples.size(), 1U);
    cr_expect_eq(read.pace_samples.front().run, 7U);
    cr_expect_eq(read.pace_samples.front().time_us, 10U);

    owner_announcement announcement;
    announcement.owner = "r1";
    const std::string plain = encoded(announcement);
    announcement.paces = {167};
    cr_expect(encoded(announcement).starts_with(plain));
    cr_expect(decoded<owner_announcement>(plain).paces.empty());
    cr_expect_eq(
        decoded<owner_announcement>(encoded(announcement)).paces.front(), 167U);
}
