#include "core/recovery/checkpoint_writer.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

namespace roseworks::detail
{

namespace
{

constexpr std::size_t remembered_marks = 16;
constexpr std::size_t remembered_checkpoints = 16;
/// Log time between two marks at least.
constexpr stamp_ms mark_step_ms = 120'000;
/// A checkpoint is taken when this part of the kept records came after the
/// last one: three parts are left for authors that die and a shorter horizon.
constexpr std::uint64_t kept_parts = 4;
/// Intervals between two checkpoints at most: what a new router has to fold.
constexpr std::uint64_t most_intervals = 10;
/// Age of a checkpoint at most, for a log that fell quiet: the records before
/// it may have come fast, and are forgotten as fast.
constexpr stamp_ms most_age_ms = 7'200'000;

} // namespace

bool checkpoint_writer::logged_checkpoint::operator<(
    const logged_checkpoint& other) const
{
    return std::tie(this->at, this->state_hash, this->count, this->author) <
           std::tie(other.at, other.state_hash, other.count, other.author);
}

checkpoint_writer::checkpoint_writer(
    std::uint64_t records, std::size_t most_bytes)
    : interval(records)
    , chunk_bytes(most_bytes)
{
}

void checkpoint_writer::start(const fleet_state& state)
{
    this->log_time = state.log_time();
    this->newest = {state.folded(), state.log_time()};
}

void checkpoint_writer::kept(log_offset first)
{
    this->first_kept = std::max(this->first_kept, first);
}

void checkpoint_writer::passed(const control_context& context)
{
    const log_offset at = context.state.folded();
    const stamp_ms time = context.state.log_time();
    const stamp_ms before = std::exchange(this->log_time, time);
    if (before == 0)
    {
        this->newest.time = time;
    }
    if (this->interval == 0 || !context.self || !at ||
        !this->on_mark(at, before, time))
    {
        return;
    }
    this->own_marks[at] = {context.state.hash(), time};
    if (this->own_marks.size() > remembered_marks)
    {
        this->own_marks.erase(this->own_marks.begin());
    }
    const session_id author = rendezvous_choice(
        {rendezvous_domain::checkpoint, at.value}, context.alive);
    if (author != context.self || !this->unsent.empty() || !this->due(at, time))
    {
        return;
    }
    for (checkpoint_chunk& chunk :
         split_checkpoint(take_checkpoint(context.state), this->chunk_bytes))
    {
        this->unsent.push_back(std::move(chunk));
    }
}

bool checkpoint_writer::on_mark(
    log_offset at, stamp_ms before, stamp_ms time) const
{
    const bool counted = at.value % this->interval == 0;
    const bool timed =
        before != 0 && before / mark_step_ms != time / mark_step_ms;
    return counted || timed;
}

bool checkpoint_writer::due(log_offset at, stamp_ms time) const
{
    const bool counted = at.value % this->interval == 0;
    const stamp_ms age = time - this->newest.time;
    if (!counted && age < mark_step_ms)
    {
        return false;
    }
    // Another author's chunks still come: the next mark will tell.
    const bool under_way = this->chunk_seen_time != 0 &&
                           time - this->chunk_seen_time < mark_step_ms;
    if (under_way)
    {
        return false;
    }
    const std::uint64_t since = at.value - this->newest.at.value;
    const std::uint64_t records = at.value + 1 - this->first_kept.value;
    return this->newest.at.value + 1 < this->first_kept.value ||
           since * kept_parts >= records ||
           since >= this->interval * most_intervals || age >= most_age_ms;
}

void checkpoint_writer::folded(
    const control_context& context, const fold_event& event)
{
    const auto* chunk = std::get_if<checkpoint_chunk>(&event.value.payload);
    if (chunk == nullptr || chunk->index >= chunk->count)
    {
        return;
    }
    const logged_checkpoint name{
        chunk->at, chunk->state_hash, chunk->count, event.value.id.author};
    std::set<std::uint32_t>& indices = this->seen[name];
    const bool is_new = indices.insert(chunk->index).second;
    const bool complete = indices.size() == chunk->count;
    if (this->seen.size() > remembered_checkpoints)
    {
        this->foreign.erase(this->seen.begin()->first);
        this->seen.erase(this->seen.begin());
    }
    if (is_new)
    {
        this->chunk_seen_time = complete ? 0 : context.state.log_time();
    }
    if (chunk->index == 0)
    {
        const auto about = read_snapshot_header(chunk->data);
        if (about && !is_newest_format(*about))
        {
            this->foreign.insert(name);
        }
    }
    if (is_new && complete && !this->foreign.contains(name))
    {
        this->note_complete(context, name);
    }
}

/// Programs of another format write their own: theirs don't count here.
void checkpoint_writer::note_complete(
    const control_context& context, const logged_checkpoint& what)
{
    const auto own = this->own_marks.find(what.at);
    const bool known = own != this->own_marks.end();
    if (known && own->second.hash != what.state_hash)
    {
        context.out.emplace_back(divergence_alarm{
            what.at, own->second.hash, what.state_hash, what.author});
        return;
    }
    if (what.at <= this->newest.at || what.at > context.state.folded())
    {
        return;
    }
    this->newest.at = what.at;
    this->newest.time = known ? own->second.time : context.state.log_time();
}

void checkpoint_writer::step(const control_context& context)
{
    if (this->in_flight && context.commit.pending(*this->in_flight))
    {
        return;
    }
    this->in_flight.reset();
    if (this->unsent.empty() || !context.log_available)
    {
        return;
    }
    this->in_flight = context.submit(std::move(this->unsent.front()));
    this->unsent.pop_front();
}

} // namespace roseworks::detail
