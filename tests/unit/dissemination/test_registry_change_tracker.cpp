#include "core/dissemination/directory_update.hpp"
#include "core/dissemination/registry_change_tracker.hpp"

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

Test(
    registry_change_tracker, heartbeats_and_copies_of_weights_are_not_announced)
{
    registry_change_tracker changes;
    const server_entry first[] = {engine(1)};
    changes.listed(first);
    server_entry heartbeat = engine(7);
    changes.read(heartbeat);
    heartbeat.holdings.on_disk.emplace_back("m3");
    changes.read(heartbeat);
    cr_assert(changes.take_unannounced().empty());
}

Test(registry_change_tracker, a_change_of_models_is_announced_once)
{
    registry_change_tracker changes;
    const server_entry first[] = {engine(1)};
    changes.listed(first);
    server_entry loaded = engine(8);
    loaded.holdings.resident.push_back({"m2", {}});
    changes.read(loaded);
    changes.read(loaded);
    cr_assert(changes.only_model_changes());
    const auto announced = changes.take_unannounced();
    cr_assert_eq(announced.size(), 1);
    cr_assert_eq(announced[0].offset, 8);
    cr_assert(announced[0].what == registry_change::kind::models);
    cr_assert(announced[0].entry.holdings.on_disk.empty());
    cr_assert(!announced[0].entry.holdings.copies_known);
    cr_assert(changes.take_unannounced().empty());
}

Test(registry_change_tracker, only_the_last_change_of_a_server_is_announced)
{
    registry_change_tracker changes;
    const server_entry first[] = {engine(1)};
    changes.listed(first);
    server_entry leaving = engine(8);
    leaving.leaving = true;
    changes.read(leaving);
    cr_assert(!changes.only_model_changes());
    leaving.registry_revision = 9;
    leaving.holdings.resident.clear();
    changes.read(leaving);
    const auto announced = changes.take_unannounced();
    cr_assert_eq(announced.size(), 1);
    cr_assert_eq(announced[0].offset, 9);
    cr_assert(announced[0].what == registry_change::kind::whole);
    cr_assert(announced[0].entry.leaving);
    changes.removed("e1", 10);
    cr_assert(!changes.only_model_changes());
    cr_assert(
        changes.take_unannounced().at(0).what == registry_change::kind::gone);
}

/// A server that registers again after its removal has to be announced in full.
Test(registry_change_tracker, a_server_that_registers_again_is_announced)
{
    registry_change_tracker changes;
    const server_entry first[] = {engine(1)};
    changes.listed(first);
    changes.removed("e1", 5);
    changes.read(engine(6));
    const auto announced = changes.take_unannounced();
    cr_assert_eq(announced.size(), 1);
    cr_assert(announced[0].what == registry_change::kind::whole);
}

/// The receiver knows the same registry up to the offset of the change.
Test(
    registry_change_tracker, an_announced_change_gives_the_same_entry_as_a_read)
{
    const server_entry first[] = {engine(1)};
    registry_change_tracker reader;
    registry_change_tracker receiver;
    reader.listed(first);
    receiver.listed(first);
    server_entry loaded = engine(8);
    loaded.holdings.resident = {{"m2", {"a1", "a4"}}, {"m3", {}}};
    reader.read(loaded);
    const auto changes = reader.take_unannounced();
    const auto applied = receiver.apply_announced(changes.at(0));
    cr_assert(applied.has_value());
    cr_assert_eq(applied->address, loaded.address);
    cr_assert_eq(applied->registry_revision, 8);
    cr_assert(applied->holdings.resident == loaded.holdings.resident);
    receiver.read(loaded);
    cr_assert(receiver.take_unannounced().empty());
}

Test(registry_change_tracker, models_of_an_unknown_engine_make_no_entry)
{
    registry_change_tracker changes;
    cr_assert(!changes.apply_announced(
        {4, registry_change::kind::models, engine(4)}));
}

Test(registry_change, models_are_packed_and_unpacked)
{
    const std::vector<resident_model> models{
        {"m1", {}}, {"m2", {"a1", "a2"}}, {"m3", {"a9"}}};
    cr_assert(unpack(pack(models)) == models);
    cr_assert(unpack("").empty());
}

Test(directory_update, the_parts_of_a_split_update_leave_no_gap)
{
    directory_update update;
    update.registry_from = 100;
    update.registry = {200, 5};
    for (std::uint64_t i = 0; i < 7; ++i)
        update.changes.push_back(
            {110 + 10 * i, registry_change::kind::whole, engine(0)});
    const std::size_t max_bytes = 3 * update.changes[0].bytes();
    const auto parts = split(update, max_bytes);
    cr_assert_eq(parts.size(), 3);
    std::uint64_t from = 100;
    std::size_t changes = 0;
    for (const directory_update& part : parts)
    {
        cr_assert_leq(changes_bytes(part), max_bytes);
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

Test(directory_update, an_update_without_changes_is_not_split)
{
    directory_update update;
    update.registry_from = 7;
    update.registry = {9, 5};
    const auto parts = split(update, 3);
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

/// A router can request the changes that it missed instead of the whole
/// registry.
Test(registry_change_tracker, changes_since_an_offset_include_removals)
{
    registry_change_tracker registry;
    const server_entry listed[] = {heard_at("a", 3), heard_at("b", 4)};
    registry.listed(listed);
    registry.set_listing_offset(10);
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

/// If a removal were missing from the changes, the requester would keep a
/// server that no longer exists.
Test(registry_change_tracker, changes_before_the_listing_are_not_known)
{
    registry_change_tracker registry;
    const server_entry listed[] = {heard_at("a", 3)};
    registry.listed(listed);
    cr_assert(!registry.since(3));
    registry.set_listing_offset(10);
    cr_assert(!registry.since(9));
    cr_assert(registry.since(10));
}

Test(registry_change_tracker, only_the_last_removals_are_kept)
{
    registry_change_tracker registry;
    registry.listed({});
    registry.set_listing_offset(0);
    constexpr std::uint64_t many = 5000;
    for (std::uint64_t i = 0; i < many; ++i)
        registry.removed("s" + std::to_string(i), i);
    cr_assert(!registry.since(0));
    cr_assert_eq(registry.since(many - 1).value().size(), 1);
}

/// Routers that had copied the registry could answer requests only with the
/// whole registry. While it grew, 300 routers sent it to each other repeatedly.
Test(
    registry_change_tracker,
    a_router_that_copied_the_registry_knows_its_changes)
{
    registry_change_tracker sender;
    const server_entry listed[] = {heard_at("a", 3), heard_at("b", 4)};
    sender.listed(listed);
    sender.set_listing_offset(10);
    sender.removed("a", 12);
    sender.read(heard_at("c", 14));
    registry_change_tracker copier;
    const server_entry copied[] = {heard_at("b", 4), heard_at("c", 14)};
    copier.listed(copied);
    copier.import_removals(sender.removals_known_from().value(), sender.all());
    copier.set_listing_offset(15);
    const std::vector<std::string> changed{"-a", "c"};
    cr_assert(ids_of(copier.since(10).value()) == changed);
    cr_assert(!copier.since(9));
}

/// An update must include all changes since the offset from which it announces.
/// A listing discards the changes that were read before it, so they must not be
/// announced as complete.
Test(registry_change_tracker, a_listing_discards_the_changes_read_before_it)
{
    registry_change_tracker registry;
    registry.listed({});
    registry.mark_unannounced_from(5);
    registry.read(heard_at("a", 5));
    registry.mark_unannounced_from(6);
    cr_assert_eq(registry.unannounced_from().value(), 5);
    registry.listed({});
    cr_assert(!registry.unannounced_from());
    cr_assert(registry.take_unannounced().empty());
    registry.mark_unannounced_from(9);
    cr_assert_eq(registry.unannounced_from().value(), 9);
    registry.take_unannounced();
    cr_assert(!registry.unannounced_from());
}

Test(registry_change_tracker, an_announced_removal_can_be_passed_on)
{
    registry_change_tracker registry;
    const server_entry listed[] = {heard_at("a", 3)};
    registry.listed(listed);
    registry.set_listing_offset(4);
    registry_change gone{6, registry_change::kind::gone, {}};
    gone.entry.id = "a";
    cr_assert(!registry.apply_announced(gone));
    const std::vector<std::string> changed{"-a"};
    cr_assert(ids_of(registry.since(4).value()) == changed);
}
