#pragma once

#include "core/request/interval_estimate.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace roseworks
{

/// Request properties that determine the time to first byte.
struct request_profile
{
    std::string_view target; ///< name of the servable or service
    /// If false, the first byte is sent only after the last token is generated.
    bool streamed = false;
    std::uint32_t prompt_bytes = 0;
    std::uint32_t max_tokens = 0;
};

/// The kind of connection that a request was sent on.
enum class connection_kind : std::uint8_t
{
    reused, ///< carried an answer before; the path may have dropped it since
    fresh   ///< just opened, so the network path worked a moment ago
};

/** Computes the time-out for the first byte of an answer. When it expires, the
    connection is considered silent.

    The estimate is based on answers of the same target, streaming mode and size
    class. Each time-out doubles the following limits of that kind until an
    answer arrives within the limit again, as in Karn's algorithm. This avoids
    repeated time-outs on a server that has become slow. Without samples the
    ceiling applies. Memory use is bounded.

    Advisory: an error here cannot break a guarantee.
*/
class progress_estimator
{
public:
    static constexpr duration min_limit = std::chrono::milliseconds(250);
    /// Factor by which the limit is longer on a fresh connection.
    static constexpr int fresh_connection_factor = 4;
    static constexpr std::size_t max_entries = 1024;

    /// @param ceiling Upper bound of the limit.
    /// @return        Time limit, measured from sending the request.
    duration first_byte_limit(
        const request_profile& profile,
        connection_kind connection,
        duration ceiling) const;

    /// Records the time from sending a request to the first byte of its answer.
    void record_first_byte(
        const request_profile& profile, duration first_byte, instant now);

    /// Records that a limit expired.
    void record_timeout(const request_profile& profile);

private:
    struct entry
    {
        interval_estimate first_byte;
        std::uint32_t backoff = 1;
        instant last_used;
    };

    static std::uint64_t key_of(const request_profile& profile);
    void evict_oldest();

    std::unordered_map<std::uint64_t, entry> entries;
};

/** Computes the time-out between two events of one stream from the gaps seen
    so far in that stream. */
class stream_gap_estimator
{
public:
    static constexpr duration min_limit = std::chrono::seconds(1);

    /// Records the arrival of one or more events.
    void record_event(instant now);

    /// @param ceiling Upper bound of the limit, and the limit while there are
    ///                too few samples.
    duration limit(duration ceiling) const;

private:
    interval_estimate gap;
    bool has_event = false;
    instant last;
};

} // namespace roseworks
