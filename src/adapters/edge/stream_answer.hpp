#pragma once

#include "adapters/edge/answer_header.hpp"
#include "adapters/edge/caller_connection.hpp"
#include "adapters/edge/traffic_observer.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::edge
{

/** An answer passed on to the caller piece by piece.

    Its header says `answered` before the end is known; a stream that can't be
    finished says otherwise in its last event, and lacks `[DONE]` and the last
    chunk. Towards HTTP/1.0 the end of the connection ends the body.
*/
class stream_answer
{
public:
    stream_answer(
        caller_connection& connection,
        answer_frame about,
        traffic_observer& counts);
    ~stream_answer();

    stream_answer(const stream_answer&) = delete;
    stream_answer& operator=(const stream_answer&) = delete;

    /// Sends the header.
    /// @param status  as the backend server said.
    /// @param headers the backend server's header.
    /// @return        false when the caller is gone.
    asio::awaitable<bool> begin(unsigned status, const http::fields& headers);

    /// Sends bytes; returns once the kernel has taken them.
    asio::awaitable<bool> write(std::string_view bytes);

    /// Ends a whole answer.
    asio::awaitable<bool> finish();

    /// Ends a stream that can't be finished with an error event.
    asio::awaitable<void> cut(const call_problem& problem);

    bool started() const
    {
        return this->has_begun;
    }

    unsigned status() const
    {
        return this->sent_status;
    }

    std::uint64_t bytes() const
    {
        return this->sent_bytes;
    }

private:
    bool chunked() const;

    caller_connection& caller;
    answer_frame frame;
    traffic_observer& observer;
    bool has_begun = false;
    unsigned sent_status = 0;
    std::uint64_t sent_bytes = 0;
};

} // namespace roseworks::edge
