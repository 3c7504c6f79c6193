#include "adapters/events/null_event_sink.hpp"
#include "fake_store.hpp"
#include "manual_clock.hpp"
#include "null_copy_port.hpp"
#include "platform/store_directory.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::users_platform;
using roseworks::users_platform::tests::fake_store;
using roseworks::users_platform::tests::manual_clock;
using roseworks::users_platform::tests::null_copy_port;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

/// Records the notifications about servers and routers.
class recording_listener final : public directory_listener
{
public:
    void deployment_read(std::shared_ptr<const deployment>) override {}

    void deployment_staleness_changed(bool) override {}
    void servers_listed(std::vector<server_entry>) override
    {
        this->listed = true;
    }

    void server_read(server_entry entry) override
    {
        this->read.push_back(std::move(entry));
    }

    void server_removed(std::string_view id) override
    {
        this->removed.emplace_back(id);
    }

    void routers_listed(std::vector<router_address>) override
    {
        this->routers = true;
    }

    void tenure_changed(std::optional<placement_tenure>) override {}
    void ownership_ended() override {}
    void term_ended() override {}
    void store_unreachable() override {}
    void store_reachable() override {}

    void store_outage_ended(instant end) override
    {
        ++this->recoveries;
        this->outage_end = end;
    }

    void store_outage_refuted() override
    {
        ++this->refutations;
    }

    void store_read(const directory_update& update) override
    {
        this->sent.push_back(update);
    }

    bool listed = false;
    bool routers = false;
    int recoveries = 0;
    int refutations = 0;
    instant outage_end;
    std::vector<server_entry> read;
    std::vector<std::string> removed;
    std::vector<directory_update> sent;
};

/// A directory that has listed the registry. Unless a test shortens the maximum
/// age, it does not read the store again without an update.
struct directory_fixture
{
    explicit directory_fixture(
        std::chrono::milliseconds age = std::chrono::hours(1),
        double others_capacity = 1)
        : directory(
              this->loop,
              settings(age),
              this->clock,
              this->sink,
              this->meter,
              this->copies)
    {
        this->store.put(
            "edge-2",
            encode_router(
                {{"edge-2", "10.0.0.2:1", others_capacity}, false, 1}));
        this->directory.start(this->listener);
        this->directory.set_owner_known(true);
        while (!this->listener.listed)
            this->loop.run_one();
    }

    ~directory_fixture()
    {
        this->directory.stop();
        this->loop.poll();
    }

    store_directory::options settings(std::chrono::milliseconds age) const
    {
        store_directory::options result;
        result.server = *platform::parse_endpoint(this->store.address());
        result.self = {"edge-1", "10.0.0.1:7380", 1};
        result.registry_max_age = age;
        result.config_max_age = age;
        return result;
    }

    template <class Reached>
    void run_until(Reached reached)
    {
        while (!reached())
            this->loop.run_one();
    }

    /// @return The next update of another router, which has just read the
    /// store.
    directory_update next_update()
    {
        directory_update update;
        update.registry_from = this->last_offset;
        update.registry = {++this->last_offset, 100};
        return update;
    }

    /// Applies an update every 100 ms for this time.
    void update_for(duration length)
    {
        const instant end = this->clock.time + length;
        while (this->clock.time < end)
        {
            this->clock.time += 100ms;
            this->directory.apply_peer_update(this->next_update());
        }
    }

    fake_store store;
    std::uint64_t last_offset = 1; ///< where listings of the fake store end
    asio::io_context loop;
    platform::byte_meter meter;
    manual_clock clock;
    events::null_event_sink sink;
    recording_listener listener;
    null_copy_port copies;
    store_directory directory;
};

/// @param from First offset of the update; listings of the fake store end at 1.
directory_update make_update(std::uint64_t from, std::uint64_t next)
{
    directory_update result;
    result.registry_from = from;
    result.registry = {next, 100};
    return result;
}

registry_change make_change(std::uint64_t offset, std::string id, bool is_gone)
{
    using enum registry_change::kind;
    registry_change result{offset, is_gone ? gone : whole, {}};
    result.entry.id = std::move(id);
    return result;
}

} // namespace

Test(directory_updates, changes_in_an_update_are_applied)
{
    directory_fixture test;
    directory_update update = make_update(1, 10);
    update.changes = {make_change(3, "e1", false), make_change(4, "e2", true)};
    test.directory.apply_peer_update(update);
    cr_assert_eq(test.listener.read.size(), 1);
    cr_assert_eq(test.listener.read[0].id, "e1");
    cr_assert_eq(test.listener.read[0].registry_revision, 3);
    cr_assert(!test.listener.read[0].holdings.copies_known);
    cr_assert_eq(test.listener.removed.size(), 1);
}

/// Guards against a repeated removal that deletes a server which has registered
/// again since.
Test(directory_updates, a_repeated_change_is_ignored)
{
    directory_fixture test;
    directory_update update = make_update(1, 5);
    update.changes = {make_change(2, "e1", true)};
    test.directory.apply_peer_update(update);
    test.directory.apply_peer_update(update);
    update = make_update(1, 9);
    update.changes = {make_change(2, "e1", true), make_change(7, "e1", false)};
    test.directory.apply_peer_update(update);
    cr_assert_eq(test.listener.removed.size(), 1);
    cr_assert_eq(test.listener.read.size(), 1);
}

Test(directory_updates, the_store_is_read_after_a_lost_update)
{
    directory_fixture test;
    const int before = test.store.reads();
    directory_update update = make_update(8, 9);
    update.changes = {make_change(8, "e1", false)};
    test.directory.apply_peer_update(update);
    cr_assert(test.listener.read.empty());
    while (test.store.reads() == before)
        test.loop.run_one();
}

/// Registry entries that expired during an outage of the store are kept until
/// the servers had time to register again. Routers that did not notice the
/// outage learn of it from updates, and must report it once.
Test(directory_updates, the_end_of_a_store_outage_is_reported_once)
{
    directory_fixture test;
    directory_update update = make_update(1, 2);
    update.outage_ended_us_ago = 1000;
    test.directory.apply_peer_update(update);
    update = make_update(2, 3);
    update.outage_ended_us_ago = 400'000;
    test.directory.apply_peer_update(update);
    cr_assert_eq(test.listener.recoveries, 1);
}

/// A VM that was cut off announces the end of an outage that the store didn't
/// have. A router that kept removed servers because of it sent requests to them
/// too long after their removal.
Test(directory_updates, an_outage_of_another_vm_alone_keeps_no_removed_server)
{
    directory_fixture test;
    test.update_for(5s);
    directory_update update = test.next_update();
    update.outage_ended_us_ago = 1000;
    test.directory.apply_peer_update(update);
    cr_assert_eq(test.listener.recoveries, 0);
}

Test(directory_updates, an_outage_without_updates_is_reported)
{
    directory_fixture test;
    test.update_for(5s);
    test.clock.time += 4s;
    directory_update update = test.next_update();
    update.outage_ended_us_ago = 1000;
    test.directory.apply_peer_update(update);
    cr_assert_eq(test.listener.recoveries, 1);
}

/// The first update after an outage may come from a router that did not notice
/// it.
Test(directory_updates, an_outage_is_reported_after_a_newer_update)
{
    directory_fixture test;
    test.update_for(5s);
    test.clock.time += 4s;
    test.update_for(200ms);
    directory_update update = test.next_update();
    update.outage_ended_us_ago = 210'000;
    test.directory.apply_peer_update(update);
    cr_assert_eq(test.listener.recoveries, 1);
}

/// A notice arrives up to two seconds after the end of the outage. A router
/// that counted the time to register again from the notice kept removed servers
/// for longer than they may be used.
Test(directory_updates, an_outage_ends_when_the_notice_says_so)
{
    directory_fixture test;
    test.clock.time += 4s;
    directory_update update = test.next_update();
    update.outage_ended_us_ago = 1'900'000;
    test.directory.apply_peer_update(update);
    cr_assert_eq(test.listener.outage_end, test.clock.time - 1900ms);
}

/// A VM that comes back after it was cut off gets updates from routers that had
/// answers of the store all the while.
Test(directory_updates, answers_of_other_routers_refute_an_outage)
{
    directory_fixture test;
    test.update_for(5s);
    test.clock.time += 4s;
    directory_update update = test.next_update();
    update.outage_ended_us_ago = 1000;
    test.directory.apply_peer_update(update);
    cr_assert_eq(test.listener.recoveries, 1);
    update = test.next_update();
    update.answered_for_us = 3'000'000;
    test.directory.apply_peer_update(update);
    cr_assert_eq(test.listener.refutations, 0);
    update = test.next_update();
    update.answered_for_us = 6'000'000;
    test.directory.apply_peer_update(update);
    cr_assert_eq(test.listener.refutations, 1);
}

/// If the store refuses the owner's reads, a router with high capacity reads
/// the store and sends updates, so that the others need not read.
Test(directory_updates, a_high_capacity_router_with_old_data_reads_and_sends)
{
    directory_fixture test(std::chrono::milliseconds(1));
    test.store.answer_reads();
    test.run_until(
        [&]
        {
            return !test.listener.sent.empty();
        });
    const directory_update& update = test.listener.sent.front();
    cr_assert_eq(update.registry.next, 1);
    cr_assert_geq(update.registry.age_us, 0);
    cr_assert_eq(update.registry_from, 1);
    cr_assert(update.changes.empty());
}

/// Updates to hundreds of routers would saturate the link of a small VM.
Test(directory_updates, a_low_capacity_router_reads_but_does_not_send)
{
    directory_fixture test(std::chrono::milliseconds(1), 4);
    test.run_until(
        [&]
        {
            return test.listener.routers;
        });
    test.listener.sent.clear();
    test.store.answer_reads();
    const int before = test.store.reads();
    test.run_until(
        [&]
        {
            return test.store.reads() > before + 8;
        });
    cr_assert(test.listener.sent.empty());
}
