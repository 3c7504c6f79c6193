#include "core/recovery/checkpoint_writer.hpp"

#include <tuple>
#include <utility>
#include <variant>

namespace roseworks::detail
{

namespace
{

constexpr std::size_t remembered_hashes = 16;
constexpr std::size_t remembered_checkpoints = 16;

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

void checkpoint_writer::passed(const control_context& context)
{
    const log_offset at = context.state.folded();
    if (this->interval == 0 || !context.self || !at ||
        at.value % this->interval != 0)
    {
        return;
    }
    this->own_hashes[at] = context.state.hash();
    if (this->own_hashes.size() > remembered_hashes)
    {
        this->own_hashes.erase(this->own_hashes.begin());
    }
    const session_id author = rendezvous_choice(
        {rendezvous_domain::checkpoint, at.value}, context.alive);
    if (author != context.self || !this->unsent.empty())
    {
        return;
    }
    for (checkpoint_chunk& chunk :
         cut_checkpoint(take_checkpoint(context.state), this->chunk_bytes))
    {
        this->unsent.push_back(std::move(chunk));
    }
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
    const auto own = this->own_hashes.find(name.at);
    if (chunk->index == 0)
    {
        const auto about = read_snapshot_header(chunk->data);
        if (about && !is_newest_format(*about))
        {
            this->foreign.insert(name);
        }
    }
    if (!is_new || !complete || own == this->own_hashes.end() ||
        this->foreign.contains(name) || own->second == name.state_hash)
    {
        return;
    }
    context.out.emplace_back(
        divergence_alarm{name.at, own->second, name.state_hash, name.author});
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
