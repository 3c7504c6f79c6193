#include "core/dissemination/directory_word.hpp"
#include "core/dissemination/registry_changes.hpp"

#include <cstdint>
#include <string>

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
    made.heard = heard;
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

Test(registry_changes, what_an_engine_holds_and_that_it_leaves_is_told_once)
{
    registry_changes changes;
    const server_entry first[] = {engine(1)};
    changes.listed(first);
    server_entry loaded = engine(8);
    loaded.holdings.resident.push_back({"m2", {}});
    changes.read(loaded);
    changes.read(loaded);
    server_entry leaving = loaded;
    leaving.leaving = true;
    leaving.heard = 9;
    changes.read(leaving);
    changes.removed("e1", 10);
    const auto told = changes.take();
    cr_assert_eq(told.size(), 3);
    cr_assert_eq(told[0].offset, 8);
    cr_assert(told[0].entry.holdings.on_disk.empty());
    cr_assert(!told[0].entry.holdings.copies_known);
    cr_assert(told[1].entry.leaving);
    cr_assert(told[2].gone);
    cr_assert_eq(told[2].entry.id, "e1");
    cr_assert(changes.take().empty());
}

/// A server that comes back after its entry was removed is told again.
Test(registry_changes, a_removed_server_that_registers_again_is_news)
{
    registry_changes changes;
    const server_entry first[] = {engine(1)};
    changes.listed(first);
    changes.removed("e1", 5);
    changes.read(engine(6));
    cr_assert_eq(changes.take().size(), 2);
}

Test(directory_word, a_long_word_is_cut_without_a_gap)
{
    directory_word word;
    word.registry_from = 100;
    word.registry = {200, 5};
    for (std::uint64_t i = 0; i < 7; ++i)
        word.changes.push_back({110 + 10 * i, false, engine(0)});
    const auto parts = split(word, 3);
    cr_assert_eq(parts.size(), 3);
    std::uint64_t from = 100;
    std::size_t changes = 0;
    for (const directory_word& part : parts)
    {
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
