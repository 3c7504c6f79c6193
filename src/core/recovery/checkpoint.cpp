#include <roseworks/checkpoint.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace roseworks
{

namespace
{

/// More chunks than any checkpoint needs: a guard against hostile counts.
constexpr std::uint32_t max_chunks = 65'536;

} // namespace

checkpoint take_checkpoint(const fleet_state& state)
{
    return {state.folded(), state.hash(), state.snapshot()};
}

std::vector<checkpoint_chunk>
split_checkpoint(const checkpoint& whole, std::size_t chunk_bytes)
{
    const std::size_t step = std::max<std::size_t>(1, chunk_bytes);
    const std::size_t size = whole.bytes.size();
    const std::size_t count =
        std::max<std::size_t>(1, (size + step - 1) / step);

    std::vector<checkpoint_chunk> chunks;
    chunks.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        const auto first =
            whole.bytes.begin() + static_cast<std::ptrdiff_t>(index * step);
        const std::size_t length = std::min(step, size - index * step);

        checkpoint_chunk chunk;
        chunk.at = whole.at;
        chunk.state_hash = whole.state_hash;
        chunk.index = static_cast<std::uint32_t>(index);
        chunk.count = static_cast<std::uint32_t>(count);
        chunk.data.assign(first, first + static_cast<std::ptrdiff_t>(length));
        chunks.push_back(std::move(chunk));
    }
    return chunks;
}

boost::leaf::result<fleet_state> restore_checkpoint(const checkpoint& whole)
{
    BOOST_LEAF_AUTO(state, fleet_state::restore(whole.bytes));
    if (state.folded() != whole.at)
    {
        return boost::leaf::new_error(
            checkpoint_error{"the checkpoint is of another offset"});
    }
    // An older program's hash is of the content as it wrote it.
    const auto about = read_snapshot_header(whole.bytes);
    const bool as_written = about && about->hash == whole.state_hash;
    const bool same_format = about && is_newest_format(*about);
    if (!as_written || (same_format && state.hash() != whole.state_hash))
    {
        return boost::leaf::new_error(
            checkpoint_error{"the checkpoint has another hash"});
    }
    return state;
}

bool checkpoint_assembler::set_name::operator<(const set_name& other) const
{
    return std::tie(this->at, this->state_hash, this->count) <
           std::tie(other.at, other.state_hash, other.count);
}

checkpoint_assembler::checkpoint_assembler(std::size_t most_bytes)
    : max_bytes(most_bytes)
{
}

std::optional<checkpoint>
checkpoint_assembler::add(const checkpoint_chunk& part)
{
    if (part.count == 0 || part.count > max_chunks ||
        part.index >= part.count || part.data.size() > this->max_bytes)
    {
        return std::nullopt;
    }
    const set_name name{part.at, part.state_hash, part.count};
    if (this->last_returned && *this->last_returned == name)
    {
        return std::nullopt;
    }
    const auto known = this->sets.find(name);
    if (known != this->sets.end() && known->second.contains(part.index))
    {
        return std::nullopt;
    }
    this->make_room(part.data.size());

    parts& collected = this->sets[name];
    collected.emplace(part.index, part.data);
    this->held_bytes += part.data.size();
    if (collected.size() < part.count)
    {
        return std::nullopt;
    }
    checkpoint whole = this->join(name);
    this->held_bytes -= whole.bytes.size();
    this->sets.erase(name);
    this->last_returned = name;
    return whole;
}

void checkpoint_assembler::make_room(std::size_t bytes)
{
    while (!this->sets.empty() && this->held_bytes + bytes > this->max_bytes)
    {
        const auto oldest = this->sets.begin();
        for (const auto& [index, data] : oldest->second)
        {
            this->held_bytes -= data.size();
        }
        this->sets.erase(oldest);
    }
}

checkpoint checkpoint_assembler::join(const set_name& name) const
{
    checkpoint whole{name.at, name.state_hash, {}};
    for (const auto& [index, data] : this->sets.at(name))
    {
        whole.bytes.insert(whole.bytes.end(), data.begin(), data.end());
    }
    return whole;
}

} // namespace roseworks
