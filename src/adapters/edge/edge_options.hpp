#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace roseworks::edge
{

/// Limits and timeouts of the edge. Sizes are in bytes.
struct edge_options
{
    using milliseconds = std::chrono::milliseconds;

    // Callers.
    std::size_t max_header_bytes = std::size_t(16) << 10;
    std::size_t max_body_bytes = std::size_t(4) << 20;
    std::size_t max_connections = 10'000;
    /// Memory for the requests of all callers. A single request inside the
    /// limits is taken in any case.
    std::size_t max_request_memory = std::size_t(128) << 20;
    /// Bytes that the kernel holds unread for each connection.
    std::size_t receive_buffer = std::size_t(64) << 10;
    milliseconds default_deadline{60'000};
    milliseconds max_deadline{3'600'000};
    milliseconds caller_idle{60'000};   ///< between two requests
    milliseconds head_timeout{10'000};  ///< for a whole request head
    milliseconds body_timeout{30'000};  ///< for a whole request body
    milliseconds write_timeout{30'000}; ///< for one write of a response

    // Backend servers.
    milliseconds connect_timeout{1'000};
    milliseconds first_byte_timeout{30'000};
    milliseconds idle_byte_timeout{10'000};
    milliseconds connection_max_age{60'000};
    milliseconds connection_max_idle{5'000}; ///< before reuse
    /// Replaces `connection_max_idle` for calls that are not repeatable. A
    /// lower limit makes it less likely that the server has closed the
    /// connection.
    milliseconds non_repeatable_max_idle{500};
    /// Time that sent data may stay unacknowledged before the connection fails.
    milliseconds tcp_user_timeout{5'000};
    milliseconds cancel_timeout{2'000};
    std::size_t max_idle_connections = 16; ///< per address and thread
    std::size_t max_answer_bytes = std::size_t(8) << 20; ///< when not streamed
    /// Maximum size of one event of a stream.
    std::size_t stream_buffer_bytes = std::size_t(64) << 10;

    // Claims.
    std::size_t max_stored_answer_bytes = std::size_t(2) << 10;
    milliseconds claim_retry_after{1'000};

    /// Random; the prefix of this run's request ids is derived from it.
    std::uint64_t request_id_seed = 1;
};

} // namespace roseworks::edge
