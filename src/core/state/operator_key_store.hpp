#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/operator_key.hpp>
#include <roseworks/record.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace roseworks::detail
{

/// A key that was ever accepted; rows are never removed.
struct operator_key_row
{
    operator_key key;
    bool retired = false;
    log_offset since;
};

/** Keys of the operators, and the signed records of late. Decided state.

    A signed record counts for `max_age_ms` of log time after its stamp, and its
    id is kept for that long: later it is refused for its age. So it can never
    take effect twice, however long ago the log forgot it.
*/
class operator_key_store
{
public:
    /// A signed record that is older than this, by log time, doesn't count.
    static constexpr stamp_ms max_age_ms = 86'400'000;

    /// @return Whether a key was ever accepted, so that signatures are asked.
    bool any() const
    {
        return !this->rows.empty();
    }

    const operator_key_row* find(std::uint8_t number) const
    {
        const auto found = this->rows.find(number);
        return found == this->rows.end() ? nullptr : &found->second;
    }

    const std::map<std::uint8_t, operator_key_row>& all() const
    {
        return this->rows;
    }

    void add(const operator_key& key, log_offset at)
    {
        this->rows[key.number] = {key, false, at};
    }

    void retire(std::uint8_t number, log_offset at)
    {
        operator_key_row& row = this->rows.at(number);
        row.retired = true;
        row.since = at;
    }

    /// Note a signed record. @return Whether it is the first with this id.
    bool first(const record_id& id, stamp_ms stamp, stamp_ms now)
    {
        std::erase_if(
            this->seen,
            [now](const auto& entry)
            {
                return now - entry.second > max_age_ms;
            });
        return this->seen.emplace(id, stamp).second;
    }

    template <class Writer>
    void save(Writer& out) const
    {
        out.number(static_cast<std::uint32_t>(this->rows.size()));
        for (const auto& [number, row] : this->rows)
        {
            out.number(number);
            for (const std::byte byte : row.key.bytes)
                out.number(std::to_integer<std::uint8_t>(byte));
            out.number(row.retired);
            out.number(row.since);
        }
        out.number(static_cast<std::uint32_t>(this->seen.size()));
        for (const auto& [id, stamp] : this->seen)
        {
            fields(out, id);
            out.time(stamp);
        }
    }

    template <class Reader>
    void load(Reader& in)
    {
        const std::size_t count = in.length();
        for (std::size_t i = 0; i < count && !in.failed(); ++i)
            this->load_row(in);
        if (this->rows.size() != count)
            in.fail("operators' key twice");
        const std::size_t records = in.length();
        for (std::size_t i = 0; i < records && !in.failed(); ++i)
        {
            record_id id;
            fields(in, id);
            in.time(this->seen[id]);
        }
        if (this->seen.size() != records)
            in.fail("signed record twice");
        if (this->rows.empty() && !this->seen.empty())
            in.fail("signed record without a key");
    }

private:
    template <class Reader>
    void load_row(Reader& in)
    {
        operator_key_row row;
        in.number(row.key.number);
        for (std::byte& byte : row.key.bytes)
        {
            std::uint8_t value = 0;
            in.number(value);
            byte = std::byte(value);
        }
        in.number(row.retired);
        in.number(row.since);
        this->rows[row.key.number] = row;
    }

    std::map<std::uint8_t, operator_key_row> rows;
    std::map<record_id, stamp_ms> seen;
};

} // namespace roseworks::detail
