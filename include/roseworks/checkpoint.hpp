#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/record.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace roseworks
{

/// A snapshot of the folded state. It is written to the log in chunks.
struct checkpoint
{
    log_offset at; ///< state after folding this offset
    std::uint64_t state_hash = 0;
    std::vector<std::byte> bytes;
};

/// LEAF error object: a checkpoint's content doesn't match its stated offset or
/// hash.
struct checkpoint_error
{
    std::string what;
};

/** Take a checkpoint of a state.

    @param state The state.
    @return      Its snapshot, offset and hash.
*/
checkpoint take_checkpoint(const fleet_state& state);

/** Split a checkpoint into record payloads.

    @param whole       The checkpoint.
    @param chunk_bytes Maximum data bytes in a chunk; at least 1.
    @return            At least one chunk.
*/
std::vector<checkpoint_chunk>
split_checkpoint(const checkpoint& whole, std::size_t chunk_bytes);

/** Rebuild the state of a checkpoint.

    @param whole A complete checkpoint; may be damaged.
    @return      The state; a `codec_error` if the bytes can't be decoded, or a
                 `checkpoint_error` if the state doesn't have the stated offset
                 and hash.
*/
boost::leaf::result<fleet_state> restore_checkpoint(const checkpoint& whole);

/** Assembles checkpoints from the chunks read from the log.

    Holds at most `max_bytes` of data; the newest incomplete checkpoints are
    kept. Each complete checkpoint is returned once. Chunks of different sets
    are never combined: offset, hash and count identify a set.
*/
class checkpoint_assembler
{
public:
    explicit checkpoint_assembler(
        std::size_t max_bytes = std::size_t(64) << 20);

    /** Add a chunk.

        @param part The chunk as read; untrusted, may be a duplicate.
        @return     The checkpoint that the chunk completes, if any.
    */
    std::optional<checkpoint> add(const checkpoint_chunk& part);

private:
    struct set_name
    {
        log_offset at;
        std::uint64_t state_hash = 0;
        std::uint32_t count = 0;

        bool operator==(const set_name&) const = default;
        bool operator<(const set_name& other) const;
    };

    using parts = std::map<std::uint32_t, std::vector<std::byte>>;

    void make_room(std::size_t bytes);
    checkpoint join(const set_name& name) const;

    std::size_t max_bytes;
    std::size_t held_bytes = 0;
    std::map<set_name, parts> sets;
    std::optional<set_name> last_returned;
};

} // namespace roseworks
