#include "core/dissemination/directory_word.hpp"
#include "core/dissemination/registry_changes.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;

namespace
{

server_entry engine(std::uint64_t heard)
{
    server_entry made;
    made.id = "e1";
    made.service = "llm";
    made.address = "10.0.0.9:80";
    made.data_centre = "hall-a";
    made.holdings.resident = {{"m1", {}}};
    made.holdings.on_disk = {"m1", "m2"};
    made.registry_revision = heard;
    return made;
}

} // namespace

Test(registry_changes, heartbeats_and_copies_of_weights_are_not_told)
{
    registry_changes changes;
    const server_entry first[] = {engine(1)};
    changes.listed(first);
    server_entry beat = engine(7);
    changes.read(beat);
    beat.holdings.on_disk.emplace_back("m3");
    changes.read(beat);
    cr_assert(changes.take().empty());
}

Test(registry_changes, what_an_engine_holds_can_wait_and_is_told_once)
{
    registry_changes changes;
    const server_entry first[] = {engine(1)};
    changes.listed(first);
    server_entry loaded = engine(8);
    loaded.holdings.resident.push_back({"m2", {}});
    changes.read(loaded);
    changes.read(loaded);
    cr_assert(changes.only_models());
    const auto told = changes.take();
    cr_assert_eq(told.size(), 1);
    cr_assert_eq(told[0].offset, 8);
    cr_assert(told[0].what == registry_change::kind::models);
    cr_assert(told[0].entry.holdings.on_disk.empty());
    cr_assert(!told[0].entry.holdings.copies_known);
    cr_assert(changes.take().empty());
}

Test(registry_changes, of_each_server_only_the_last_change_is_told)
{
    registry_changes changes;
    const server_entry first[] = {engine(1)};
    changes.listed(first);
    server_entry leaving = engine(8);
    leaving.leaving = true;
    changes.read(leaving);
    cr_assert(!changes.only_models());
    leaving.registry_revision = 9;
    leaving.holdings.resident.clear();
    changes.read(leaving);
    const auto told = changes.take();
    cr_assert_eq(told.size(), 1);
    cr_assert_eq(told[0].offset, 9);
    cr_assert(told[0].what == registry_change::kind::whole);
    cr_assert(told[0].entry.leaving);
    changes.removed("e1", 10);
    cr_assert(!changes.only_models());
    cr_assert(changes.take().at(0).what == registry_change::kind::gone);
}

/// A server that comes back after its entry was removed is told again.
Test(registry_changes, a_removed_server_that_registers_again_is_news)
{
    registry_changes changes;
    const server_entry first[] = {engine(1)};
    changes.listed(first);
    changes.removed("e1", 5);
    changes.read(engine(6));
    const auto told = changes.take();
    cr_assert_eq(told.size(), 1);
    cr_assert(told[0].what == registry_change::kind::whole);
}

/// Another router knows the same up to the offset at which a change begins.
Test(registry_changes, what_was_told_makes_the_same_as_what_was_read)
{
    const server_entry first[] = {engine(1)};
    registry_changes reader;
    registry_changes hearer;
    reader.listed(first);
    hearer.listed(first);
    server_entry loaded = engine(8);
    loaded.holdings.resident = {{"m2", {"a1", "a4"}}, {"m3", {}}};
    reader.read(loaded);
    const auto changes = reader.take();
    const auto heard = hearer.told(changes.at(0));
    cr_assert(heard.has_value());
    cr_assert_eq(heard->address, loaded.address);
    cr_assert_eq(heard->registry_revision, 8);
    cr_assert(heard->holdings.resident == loaded.holdings.resident);
    hearer.read(loaded);
    cr_assert(hearer.take().empty());
}

Test(registry_changes, models_of_an_unknown_engine_make_no_entry)
{
    registry_changes changes;
    cr_assert(!changes.told({4, registry_change::kind::models, engine(4)}));
}

Test(registry_change, models_are_packed_and_unpacked)
{
    const std::vector<resident_model> models{
        {"m1", {}}, {"m2", {"a1", "a2"}}, {"m3", {"a9"}}};
    cr_assert(unpack(pack(models)) == models);
    cr_assert(unpack("").empty());
}

Test(directory_word, a_long_word_is_cut_without_a_gap)
{
    directory_word word;
    word.registry_from = 100;
    word.registry = {200, 5};
    for (std::uint64_t i = 0; i < 7; ++i)
        word.changes.push_back(
            {110 + 10 * i, registry_change::kind::whole, engine(0)});
    const std::size_t room = 3 * word.changes[0].bytes();
    const auto parts = split(word, room);
    cr_assert_eq(parts.size(), 3);
    std::uint64_t from = 100;
    std::size_t changes = 0;
    for (const directory_word& part : parts)
    {
        cr_assert_leq(changes_bytes(part), room);
        cr_assert_eq(part.registry_from, from);
        for (const registry_change& change : part.changes)
        {
            cr_assert_geq(change.offset, from);
            cr_assert_lt(change.offset, part.registry.next);
        }
        from = part.registry.next;
        changes += part.changes.size();
    }
    cr_assert_eq(from, 200);
    cr_assert_eq(changes, 7);
}

Test(directory_word, one_without_changes_stays_whole)
{
    directory_word word;
    word.registry_from = 7;
    word.registry = {9, 5};
    const auto parts = split(word, 3);
    cr_assert_eq(parts.size(), 1);
    cr_assert_eq(parts[0].registry_from, 7);
    cr_assert_eq(parts[0].registry.next, 9);
}

namespace
{

server_entry heard_at(const std::string& id, std::uint64_t offset)
{
    server_entry made;
    made.id = id;
    made.address = "10.0.0.1:80";
    made.registry_revision = offset;
    return made;
}

std::vector<std::string> ids_of(const std::vector<registry_change>& changes)
{
    std::vector<std::string> ids;
    for (const registry_change& change : changes)
        ids.push_back(
            (change.what == registry_change::kind::gone ? "-" : "") +
            change.entry.id);
    return ids;
}

} // namespace

/// Another router asks for what it missed, and not for the whole registry.
Test(registry_changes, what_changed_since_an_offset_is_given_with_removals)
{
    registry_changes registry;
    const server_entry listed[] = {heard_at("a", 3), heard_at("b", 4)};
    registry.listed(listed);
    registry.listed_as_of(10);
    registry.read(heard_at("c", 11));
    registry.removed("a", 12);
    registry.removed("c", 13);
    registry.read(heard_at("d", 14));
    const std::vector<std::string> all{"-a", "-c", "d"};
    cr_assert(ids_of(registry.since(10).value()) == all);
    const std::vector<std::string> last{"d"};
    cr_assert(ids_of(registry.since(14).value()) == last);
    cr_assert(registry.since(15).value().empty());
}

/// A removal that isn't known here would leave a dead server with the asker.
Test(registry_changes, what_changed_before_the_listing_is_not_known)
{
    registry_changes registry;
    const server_entry listed[] = {heard_at("a", 3)};
    registry.listed(listed);
    cr_assert(!registry.since(3));
    registry.listed_as_of(10);
    cr_assert(!registry.since(9));
    cr_assert(registry.since(10));
}

Test(registry_changes, removals_are_forgotten_after_a_while)
{
    registry_changes registry;
    registry.listed({});
    registry.listed_as_of(0);
    constexpr std::uint64_t many = 5000;
    for (std::uint64_t i = 0; i < many; ++i)
        registry.removed("s" + std::to_string(i), i);
    cr_assert(!registry.since(0));
    cr_assert_eq(registry.since(many - 1).value().size(), 1);
}

/// Routers that had copied the registry could only give it whole again: three
/// hundred gave it to each other time and again while it grew.
Test(registry_changes, who_was_given_the_registry_can_tell_what_changed_in_it)
{
    registry_changes giver;
    const server_entry listed[] = {heard_at("a", 3), heard_at("b", 4)};
    giver.listed(listed);
    giver.listed_as_of(10);
    giver.removed("a", 12);
    giver.read(heard_at("c", 14));
    registry_changes taker;
    const server_entry copied[] = {heard_at("b", 4), heard_at("c", 14)};
    taker.listed(copied);
    taker.remember(giver.remembered_from().value(), giver.all());
    taker.listed_as_of(15);
    const std::vector<std::string> changed{"-a", "c"};
    cr_assert(ids_of(taker.since(10).value()) == changed);
    cr_assert(!taker.since(9));
}

/// A word that accounts for an offset leaves out no change since it: what was
/// read before a listing is gone from what can be told.
Test(registry_changes, after_a_listing_nothing_read_before_it_is_untold)
{
    registry_changes registry;
    registry.listed({});
    registry.to_tell_from(5);
    registry.read(heard_at("a", 5));
    registry.to_tell_from(6);
    cr_assert_eq(registry.untold_from().value(), 5);
    registry.listed({});
    cr_assert(!registry.untold_from());
    cr_assert(registry.take().empty());
    registry.to_tell_from(9);
    cr_assert_eq(registry.untold_from().value(), 9);
    registry.take();
    cr_assert(!registry.untold_from());
}

Test(registry_changes, a_removal_that_was_told_can_be_told_on)
{
    registry_changes registry;
    const server_entry listed[] = {heard_at("a", 3)};
    registry.listed(listed);
    registry.listed_as_of(4);
    registry_change gone{6, registry_change::kind::gone, {}};
    gone.entry.id = "a";
    cr_assert(!registry.told(gone));
    const std::vector<std::string> changed{"-a"};
    cr_assert(ids_of(registry.since(4).value()) == changed);
}
