#pragma once

#include "tools/common/log_history.hpp"

#include <roseworks/names.hpp>

#include <boost/json/object.hpp>

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::tools
{

/// One line of the audit trail.
struct trail_entry
{
    log_offset offset;
    stamp_ms stamp = 0;
    std::string author;
    std::string_view kind; ///< the record's kind, `replica_decide`
    /// What it is about: `model agri-lm`, `engine colombo-a-e1`.
    std::vector<std::string> subjects;
    std::string cause;   ///< note, evidence or state asked for
    std::string outcome; ///< `accepted`, `rejected`, ...
    std::string reason;  ///< why it was rejected
    log_offset winner;   ///< the change that won
    /// `model a: max_replicas 2 -> 4`, `replica 42: loading -> ready`.
    std::vector<std::string> effects;

    /// @return Whether `subject` is among the subjects.
    bool names(std::string_view subject) const;

    /// @return The same; of a change of configuration only what is about
    ///         one subject.
    trail_entry only(std::string_view subject) const;
};

/// Writes the trail while a log is folded.
class trail_writer : public history_observer
{
public:
    void
    before_fold(const fleet_state& state, const history_entry& entry) override;
    void
    after_fold(const fleet_state& state, const history_entry& entry) override;

    const std::vector<trail_entry>& entries() const
    {
        return this->all;
    }

private:
    std::vector<trail_entry> all;
};

/// Writes an entry as a line, its effects indented below.
std::ostream& operator<<(std::ostream& out, const trail_entry& entry);

/// @return The entry for `--json`.
boost::json::object to_json(const trail_entry& entry);

/// @return The record kind's name; `unreadable` when there is no record.
std::string_view kind_name(const history_entry& entry);

/// @return The operator's or router's name, else `author <hex>`.
std::string author_name(const fleet_state& state, const record& value);

/// @return `2026-12-02T18:36:02.120Z`.
std::string to_utc(stamp_ms stamp);

/// @return 16 hex digits.
std::string to_hex(std::uint64_t value);

/// @return 32 hex digits.
std::string to_hex(const claim_key& key);

/// @return The servable's name, else `servable <id>`.
std::string servable_name(const fleet_state& state, servable_id id);

/// @return The engine's name, else `engine <id>`.
std::string engine_name(const fleet_state& state, engine_id id);

/// @return The session's router and number, `colombo-a-r1/12`.
std::string session_name(const fleet_state& state, session_id id);

} // namespace roseworks::tools
