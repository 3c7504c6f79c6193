#pragma once

#include "adapters/edge/caller_connection.hpp"
#include "adapters/edge/response_builder.hpp"
#include "adapters/edge/traffic_observer.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::edge
{

/** A response that is streamed to the caller.

    Its header has the verdict `answered` before the outcome is known. If the
    stream can't be completed, its last event is an error event with the actual
    verdict, and it has no `[DONE]`. For HTTP/1.0 the body is delimited by the
    end of the connection.
*/
class stream_response
{
public:
    stream_response(
        caller_connection& connection,
        response_context about,
        traffic_observer& counts);
    ~stream_response();

    stream_response(const stream_response&) = delete;
    stream_response& operator=(const stream_response&) = delete;

    /// Sends the header.
    /// @param status  Status of the backend server's response.
    /// @param headers Headers of the backend server's response.
    /// @return        False if the caller has closed the connection.
    asio::awaitable<bool> begin(unsigned status, const http::fields& headers);

    /// Sends bytes. Returns when the kernel has accepted them.
    asio::awaitable<bool> write(std::string_view bytes);

    /// Ends a complete response.
    asio::awaitable<bool> finish();

    /// Ends an incomplete stream with an error event.
    asio::awaitable<void> cut(const call_problem& problem);

    bool started() const
    {
        return this->has_started;
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
    response_context context;
    traffic_observer& observer;
    bool has_started = false;
    unsigned sent_status = 0;
    std::uint64_t sent_bytes = 0;
};

} // namespace roseworks::edge
