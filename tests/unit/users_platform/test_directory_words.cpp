#include "adapters/events/null_event_sink.hpp"
#include "adapters/platform/system_clock.hpp"
#include "fake_store.hpp"
#include "no_copies.hpp"
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
using roseworks::users_platform::tests::no_copies;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

/// Records the notifications about servers and routers.
class server_listener final : public directory_listener
{
public:
    void deployment_read(std::shared_ptr<const deployment>) override {}

    void deployment_behind(bool) override {}
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
    void ownership_left() override {}
    void term_ended() override {}
    void directory_lost() override {}
    void directory_back() override {}

    void registry_back() override
    {
        ++this->returns;
    }

    void store_read(const directory_word& word) override
    {
        this->told.push_back(word);
    }

    bool listed = false;
    bool routers = false;
    int returns = 0;
    std::vector<server_entry> read;
    std::vector<std::string> removed;
    std::vector<directory_word> told;
};

/// A directory that has listed the registry. Unless a test shortens the maximum
/// age, it does not read the store again without an update.
struct listed_directory
{
    explicit listed_directory(
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
        this->directory.owner_heard(true);
        while (!this->listener.listed)
            this->loop.run_one();
    }

    ~listed_directory()
    {
        this->directory.stop();
        this->loop.poll();
    }

    store_directory::options settings(std::chrono::milliseconds age) const
    {
        store_directory::options made;
        made.server = *platform::parse_endpoint(this->store.address());
        made.self = {"edge-1", "10.0.0.1:7380", 1};
        made.registry_age = age;
        made.config_age = age;
        return made;
    }

    template <class Reached>
    void run_until(Reached reached)
    {
        while (!reached())
            this->loop.run_one();
    }

    fake_store store;
    asio::io_context loop;
    platform::byte_meter meter;
    const platform::system_clock clock;
    events::null_event_sink sink;
    server_listener listener;
    no_copies copies;
    store_directory directory;
};

/// @param from First offset of the update; listings of the fake store end at 1.
directory_word word_of(std::uint64_t from, std::uint64_t next)
{
    directory_word made;
    made.registry_from = from;
    made.registry = {next, 100};
    return made;
}

registry_change change_of(std::uint64_t offset, std::string id, bool is_gone)
{
    using enum registry_change::kind;
    registry_change made{offset, is_gone ? gone : whole, {}};
    made.entry.id = std::move(id);
    return made;
}

} // namespace

Test(directory_words, changes_in_an_update_are_applied)
{
    listed_directory test;
    directory_word word = word_of(1, 10);
    word.changes = {change_of(3, "e1", false), change_of(4, "e2", true)};
    test.directory.word_heard(word);
    cr_assert_eq(test.listener.read.size(), 1);
    cr_assert_eq(test.listener.read[0].id, "e1");
    cr_assert_eq(test.listener.read[0].heard, 3);
    cr_assert(!test.listener.read[0].holdings.copies_known);
    cr_assert_eq(test.listener.removed.size(), 1);
}

/// Guards against a repeated removal that deletes a server which has registered
/// again since.
Test(directory_words, a_repeated_change_is_ignored)
{
    listed_directory test;
    directory_word word = word_of(1, 5);
    word.changes = {change_of(2, "e1", true)};
    test.directory.word_heard(word);
    test.directory.word_heard(word);
    word = word_of(1, 9);
    word.changes = {change_of(2, "e1", true), change_of(7, "e1", false)};
    test.directory.word_heard(word);
    cr_assert_eq(test.listener.removed.size(), 1);
    cr_assert_eq(test.listener.read.size(), 1);
}

Test(directory_words, the_store_is_read_after_a_lost_update)
{
    listed_directory test;
    const int before = test.store.reads();
    directory_word word = word_of(8, 9);
    word.changes = {change_of(8, "e1", false)};
    test.directory.word_heard(word);
    cr_assert(test.listener.read.empty());
    while (test.store.reads() == before)
        test.loop.run_one();
}

/// Registry entries that expired during an outage of the store are kept until
/// the servers had time to register again. Routers that did not notice the
/// outage learn of it from updates, and must report it once.
Test(directory_words, the_end_of_a_store_outage_is_reported_once)
{
    listed_directory test;
    directory_word word = word_of(1, 2);
    word.back_for_us = 1000;
    test.directory.word_heard(word);
    word = word_of(2, 3);
    word.back_for_us = 400'000;
    test.directory.word_heard(word);
    cr_assert_eq(test.listener.returns, 1);
}

/// If the store refuses the owner's reads, a router with high capacity reads
/// the store and sends updates, so that the others need not read.
Test(directory_words, a_high_capacity_router_with_old_data_reads_and_sends)
{
    listed_directory test(std::chrono::milliseconds(1));
    test.store.answer_reads();
    test.run_until(
        [&]
        {
            return !test.listener.told.empty();
        });
    const directory_word& word = test.listener.told.front();
    cr_assert_eq(word.registry.next, 1);
    cr_assert_geq(word.registry.age_us, 0);
    cr_assert_eq(word.registry_from, 1);
    cr_assert(word.changes.empty());
}

/// Updates to hundreds of routers would saturate the link of a small VM.
Test(directory_words, a_low_capacity_router_reads_but_does_not_send)
{
    listed_directory test(std::chrono::milliseconds(1), 4);
    test.run_until(
        [&]
        {
            return test.listener.routers;
        });
    test.listener.told.clear();
    test.store.answer_reads();
    const int before = test.store.reads();
    test.run_until(
        [&]
        {
            return test.store.reads() > before + 8;
        });
    cr_assert(test.listener.told.empty());
}
