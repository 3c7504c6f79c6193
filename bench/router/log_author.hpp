#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/record.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::bench
{

/** Writes records to the log as one more author, the way a router would.

    Used to give routers a steady tail to follow. Keeps no state but its own
    sequence number; `read_state` folds the whole log.
*/
class log_author
{
public:
    /**
        @param address The log's ip:port.
        @param author  Identity of this author, not used by any router.
    */
    log_author(std::string_view address, std::uint64_t author);

    /** Append records with one call.

        @return The first one's offset; 0 when the log did not take them.
    */
    log_offset append(std::span<const record_payload> payloads);
    log_offset append(record_payload payload);

    /// @return The state after everything the log holds.
    fleet_state read_state() const;

    /// @return The offset that the next record will have.
    log_offset next_offset() const;

    /// @return Bytes of all records appended by this author.
    std::uint64_t bytes() const;
    /// @return Records appended by this author.
    std::uint64_t records() const;

private:
    std::string address;
    std::uint64_t author;
    std::uint64_t sequence = 0;
    std::uint64_t appended_bytes = 0;
};

} // namespace roseworks::bench
