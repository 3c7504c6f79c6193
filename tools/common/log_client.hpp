#pragma once

#include "tools/common/http_call.hpp"

#include <roseworks/ids.hpp>

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace roseworks::tools
{

/// One entry as the log keeps it.
struct log_entry
{
    log_offset offset;
    std::vector<std::byte> data;
};

/// What the log holds: `first` up to, not with, `next`.
struct log_bounds
{
    log_offset first;
    log_offset next;
};

/// LEAF error object of the log client.
struct log_error
{
    enum class kind : std::uint8_t
    {
        unavailable, ///< nothing was done
        answer_lost, ///< an append may have taken effect
        forgotten,   ///< the log no longer holds the offset asked for
        bad_answer
    };

    kind what = kind::unavailable;
    std::string detail;
};

/** Blocking client of the platform's log (docs/INTERFACES.md).

    Every call takes a connection of its own and ends within the timeout.
    Nothing is retried.
*/
class log_client
{
public:
    /** @param to    The log's address.
        @param limit For each exchange, beyond the wait of a long poll.
        @param by    Makes TLS contexts; null: plain HTTP. */
    log_client(
        const endpoint& to,
        std::chrono::milliseconds limit,
        const tls::context_source* by = nullptr);

    /** Append one entry.

        @param data Its bytes.
        @return     Its offset, or a `log_error`.
    */
    boost::leaf::result<log_offset> append(std::span<const std::byte> data);

    /** Read on.

        @param from The first offset wanted.
        @param wait How long to wait when there is nothing yet.
        @return     Entries in order, none when nothing came; or a `log_error`.
    */
    boost::leaf::result<std::vector<log_entry>>
    read(log_offset from, std::chrono::milliseconds wait);

    /// @return What the log holds, or a `log_error`.
    boost::leaf::result<log_bounds> status();

private:
    boost::leaf::result<http_reply>
    call(const http_request& request, std::chrono::milliseconds limit);

    endpoint server;
    std::chrono::milliseconds timeout;
    const tls::context_source* secured;
};

} // namespace roseworks::tools
