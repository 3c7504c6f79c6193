#pragma once

#include "tools/common/log_client.hpp"

#include <roseworks/fleet_state.hpp>
#include <roseworks/record.hpp>

#include <boost/leaf/result.hpp>

#include <chrono>
#include <limits>
#include <optional>
#include <vector>

namespace roseworks::tools
{

/// One entry of the log and what the fold made of it.
struct history_entry
{
    log_offset offset;
    std::optional<record> value; ///< empty: it can't be decoded
    /// Empty when it lies before the checkpoint that the fold started from.
    std::optional<fold_result> result;
    std::vector<state_change> changes;
};

/// Told of every entry, before and after it is folded.
class history_observer
{
public:
    virtual ~history_observer() = default;

    virtual void before_fold(const fleet_state&, const history_entry&) {}

    virtual void after_fold(const fleet_state&, const history_entry&) {}

    /// The fold starts from a checkpoint instead of from nothing.
    virtual void restored(const fleet_state&) {}
};

/** The whole log as it is kept, folded.

    When the log has forgotten its start, the fold begins at the oldest complete
    checkpoint that the kept entries reach; those before it aren't folded.
*/
class log_history
{
public:
    static constexpr log_offset no_limit{
        std::numeric_limits<std::uint64_t>::max()};

    /** @param client The log; outlives this.
        @param last   Entries above it are left out. */
    explicit log_history(log_client& client, log_offset last = no_limit);

    /// Adds an observer of what is folded from now on; it outlives this.
    void observe(history_observer& observer);

    /// Reads and folds everything that the log holds now.
    boost::leaf::result<void> load();

    /** Read and fold what has been appended since.

        @param wait How long to wait when there is nothing yet.
        @return     How many entries came, or a `log_error`.
    */
    boost::leaf::result<std::size_t> read_on(std::chrono::milliseconds wait);

    const fleet_state& state() const
    {
        return this->folded;
    }

    const std::vector<history_entry>& entries() const
    {
        return this->all;
    }

    /// @return The entry at an offset, null when it isn't kept.
    const history_entry* find(log_offset offset) const;

    /// @return The first entry with this id, null when there is none.
    const history_entry* find(const record_id& id) const;

private:
    void decode_entry(const log_entry& entry);
    boost::leaf::result<void> start_from_checkpoint(log_offset first);
    void fold_entry(history_entry& entry);

    log_client& source;
    fleet_state folded;
    log_offset limit;
    log_offset next{1};
    std::vector<history_entry> all;
    std::vector<history_observer*> observers;
};

} // namespace roseworks::tools
