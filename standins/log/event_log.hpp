#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::standins
{

/// An append-only log in memory. Offsets start at 1.
class event_log
{
public:
    /// @param limit how many records are kept; 0 keeps all.
    explicit event_log(std::size_t limit);

    /// @return The offset of the first of these records.
    std::uint64_t append(std::vector<std::string> added);

    /// Forgets everything before the offset.
    void trim(std::uint64_t offset);

    /// The records from an offset on, each as `u64` offset, `u32` length and
    /// bytes, little-endian.
    ///
    /// @param from      a kept offset, or one that is not written yet.
    /// @param max_bytes where to stop; one record is returned even when it is
    ///                  longer.
    [[nodiscard]] std::string
    read(std::uint64_t from, std::size_t max_bytes) const;

    [[nodiscard]] std::uint64_t first_offset() const;
    [[nodiscard]] std::uint64_t next_offset() const;

private:
    std::size_t retain;
    std::uint64_t first = 1;
    std::deque<std::string> records;
};

/// Splits an append's body: entries of `u32` little-endian length and bytes.
/// Throws `bad_request` when it doesn't end at an entry's end.
std::vector<std::string> split_entries(std::string_view body);

} // namespace roseworks::standins
