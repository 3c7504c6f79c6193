#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace roseworks::detail
{

/** Interns short names: a number for each, in order of first sight, from 1.

    Characters lie in one arena and the index holds numbers only, about 10
    bytes a name beside its characters. Names are never forgotten, and the
    views handed out stay valid while the table lives.
*/
class name_table
{
public:
    name_table() = default;
    name_table(const name_table&) = delete;
    name_table& operator=(const name_table&) = delete;
    name_table(name_table&&) noexcept = default;
    name_table& operator=(name_table&&) noexcept = default;

    /// Longest name.
    static constexpr std::size_t max_length = 255;

    /// @return The name's number; 0 when it was never interned.
    std::uint32_t find(std::string_view name) const;

    /** Number a name, new or not.

        @param name At most `max_length` bytes.
        @return     Its number.
    */
    std::uint32_t intern(std::string_view name);

    /// @return The name of a number; empty for 0 or an unknown one.
    std::string_view name(std::uint32_t id) const;

    /// @return Keeps the views handed out valid, also without the table.
    std::shared_ptr<const void> owner() const
    {
        return this->arena;
    }

    /// @return The number of names; also the highest number given.
    std::size_t size() const
    {
        return this->positions.size();
    }

    /// Write all names in order.
    template <class Writer>
    void save(Writer& out) const
    {
        out.number(static_cast<std::uint32_t>(this->size()));
        for (std::uint32_t id = 1; id <= this->size(); ++id)
            out.text(this->name(id));
    }

    /// Read what `save` wrote into an empty table.
    template <class Reader>
    void load(Reader& in)
    {
        const std::size_t count = in.length();
        std::string text;
        for (std::size_t i = 0; i < count && !in.failed(); ++i)
        {
            in.text(text);
            if (text.size() > max_length || this->find(text) != 0)
                in.fail("name too long or twice");
            else if (!in.failed())
                this->intern(text);
        }
    }

private:
    static constexpr std::size_t chunk_bytes = std::size_t(1) << 16;

    std::size_t slot_of(std::string_view name) const;
    std::uint32_t store(std::string_view name);
    void grow();

    using chunk_list = std::vector<std::unique_ptr<char[]>>;

    /// Shared with those who hold views; changed by the table alone.
    std::shared_ptr<chunk_list> arena = std::make_shared<chunk_list>();
    std::size_t used = chunk_bytes;      ///< of the last chunk
    std::deque<std::uint32_t> positions; ///< by number - 1
    std::vector<std::uint32_t> slots;    ///< open addressing, 0: free
};

} // namespace roseworks::detail
