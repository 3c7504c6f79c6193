#include "app/control_loop.hpp"
#include "app/whole_ms.hpp"
#include "ports/hex_text.hpp"

#include <algorithm>
#include <memory>
#include <utility>

// The control loop's part that follows the log: fold, and search for a
// checkpoint.

namespace roseworks::app
{

namespace
{

constexpr std::uint64_t micros_per_milli = 1000;

/// Longer runs of records are followed by a rebuild of the routing table.
constexpr std::size_t most_single_updates = 64;

std::string_view to_word(log_fault fault)
{
    return fault == log_fault::malformed ? "malformed answer" : "unreachable";
}

} // namespace

void control_loop::log_opened(log_offset first, log_offset next, bool trimmed)
{
    this->note_log_answered();
    this->known_end = std::max(this->known_end, next);
    this->first_kept = first;
    if (!trimmed)
    {
        constexpr log_offset nothing_folded{0};
        this->begin(fleet_state(), nothing_folded);
        return;
    }
    if (this->core)
    {
        this->ports.events.report(
            event_id::log_gap,
            {{"wanted", this->core->state().folded().value + 1},
             {"first_offset", first.value}});
        this->ports.engines.cancel_all();
        this->notices.claims_dropped();
        this->core.reset();
        this->caught_up = false;
    }
    this->begin_search(first);
}

void control_loop::begin(fleet_state state, log_offset folded)
{
    const std::uint64_t wall_micros =
        static_cast<std::uint64_t>(this->ports.clock.wall()) * micros_per_milli;
    this->settings.incarnation =
        std::max(this->settings.incarnation + 1, wall_micros);
    ++this->run;
    ++this->counted.config_changes;
    this->searching.reset();
    this->batch_records.clear();
    this->catch_up_end = this->known_end;
    this->core = std::make_unique<controller>(this->settings);
    this->table_stale = true;
    this->core->start(
        std::move(state), this->ports.clock.wall(), this->ports.clock.now());
    this->core->log_kept(this->first_kept);
    this->builder.set_grants(this->core->state(), {});
    this->sessions_moved = true;
    this->ports.log.tail_from(log_offset(folded.value + 1));
    this->pump();
}

void control_loop::begin_search(log_offset first)
{
    this->searching.emplace(first);
    this->search_end = this->known_end;
    this->ports.log.tail_from(first);
}

void control_loop::entries_read(std::vector<log_entry> entries, log_offset next)
{
    this->note_log_answered();
    this->known_end = std::max(this->known_end, next);
    if (this->searching)
    {
        this->search(entries);
        return;
    }
    if (!this->core)
        return;
    this->fold(entries, next);
    this->pump();
}

/// The builder follows single records; after a long run of them it is cheaper
/// to take the whole state over once.
void control_loop::fold(std::span<const log_entry> entries, log_offset next)
{
    const instant now = this->ports.clock.now();
    const stamp_ms wall = this->ports.clock.wall();
    const bool one_by_one = this->caught_up && !this->table_stale &&
                            !entries.empty() &&
                            entries.size() <= most_single_updates;
    if (!one_by_one)
    {
        this->table_stale |= !entries.empty();
        this->core->log_read(entries, next, wall, now);
        return;
    }
    for (std::size_t at = 0; at < entries.size(); ++at)
    {
        this->core->log_read(entries.subspan(at, 1), next, wall, now);
        this->builder.update(this->core->state());
    }
}

void control_loop::search(std::span<const log_entry> entries)
{
    this->searching->look(entries);
    const bool at_end = entries.empty() || entries.back().offset.value + 1 >=
                                               this->search_end.value;
    if (!at_end)
        return;

    std::optional<checkpoint_search::found> found = this->searching->take();
    if (!found)
        return;
    this->ports.events.report(
        event_id::checkpoint_adopted,
        {{"offset", found->whole.at.value},
         {"bytes", found->whole.bytes.size()},
         {"hash", to_hex(found->whole.state_hash)},
         {"source", std::string_view("log")}});
    this->begin(std::move(found->state), found->whole.at);
}

void control_loop::oldest_offset_read(log_offset first)
{
    this->first_kept = first;
    if (this->core)
        this->core->log_kept(first);
}

void control_loop::note_log_answered()
{
    const auto lasted = this->log_outage.succeeded(this->ports.clock.now());
    if (!lasted)
        return;
    this->ports.events.report(
        event_id::log_back,
        {{"offset", this->known_end.value}, {"elapsed_ms", whole_ms(*lasted)}});
}

void control_loop::log_failed(log_fault fault)
{
    const instant now = this->ports.clock.now();
    if (this->log_outage.failed(now))
    {
        this->ports.events.report(
            event_id::log_unreachable,
            {{"reason", to_word(fault)}, {"offset", this->known_end.value}});
    }
    if (!this->core)
        return;
    this->core->log_unreachable(now);
    this->pump();
}

void control_loop::append_answered(std::uint64_t batch, append_outcome outcome)
{
    const auto found = this->batch_records.find(batch);
    if (!this->core || found == this->batch_records.end())
        return;
    if (outcome == append_outcome::unknown)
    {
        ++this->counted.appends_lost;
        this->ports.events.report(
            event_id::append_answer_lost, {{"records", found->second}});
    }
    this->batch_records.erase(found);
    this->core->append_answered(batch, outcome, this->ports.clock.now());
    this->pump();
}

} // namespace roseworks::app
