#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/record.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace roseworks::detail
{

/** Recognises records that were folded before. Decided state.

    Per incarnation of an author it keeps the highest sequence and which of
    the `window` sequences up to it were folded. A sequence older than the
    window counts as folded: an author has fewer records in flight than that.
*/
class duplicate_filter
{
public:
    /// Sequences that may arrive out of order.
    static constexpr std::uint64_t window = 1024;
    /// Log time after which a silent incarnation is forgotten.
    static constexpr stamp_ms keep_ms = 86'400'000;

    /** Note a record.

        @param id  Its id.
        @param now Log time.
        @return    Whether it is the first with this id.
    */
    bool first(const record_id& id, stamp_ms now);

    /** Forget incarnations that were silent for long.

        @param now  Log time.
        @param live Whether an author's incarnation still runs: it is kept.
    */
    template <class Live>
    void sweep(stamp_ms now, Live&& live)
    {
        for (auto entry = this->rows.begin(); entry != this->rows.end();)
        {
            const auto& [author, incarnation] = entry->first;
            if (now - entry->second.last_seen < keep_ms ||
                live(author, incarnation))
                ++entry;
            else
                entry = this->rows.erase(entry);
        }
    }

    template <class Writer>
    void save(Writer& out) const
    {
        out.number(static_cast<std::uint32_t>(this->rows.size()));
        for (const auto& [key, row] : this->rows)
        {
            out.number(key.first);
            out.number(key.second);
            fields(out, row);
        }
    }

    template <class Reader>
    void load(Reader& in)
    {
        const std::size_t count = in.length();
        for (std::size_t i = 0; i < count && !in.failed(); ++i)
        {
            std::pair<author_id, std::uint64_t> key;
            in.number(key.first);
            in.number(key.second);
            fields(in, this->rows[key]);
        }
        if (this->rows.size() != count)
            in.fail("incarnation twice");
    }

private:
    static constexpr std::size_t word_bits = 64;

    struct row_type
    {
        std::uint64_t highest = 0;
        stamp_ms last_seen = 0;
        /// Ring of bits, by sequence modulo the window.
        std::array<std::uint64_t, window / word_bits> folded{};
    };

    template <class Io, class Row>
    static void fields(Io& io, Row& row)
    {
        io.number(row.highest);
        io.time(row.last_seen);
        for (auto& word : row.folded)
            io.number(word);
    }

    static void advance(row_type& row, std::uint64_t sequence);

    std::map<std::pair<author_id, std::uint64_t>, row_type> rows;
};

} // namespace roseworks::detail
