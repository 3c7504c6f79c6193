#pragma once

#include "fake_backend.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::forward::tests
{

/// How a server states where its response ends.
enum class stream_framing
{
    connection,
    length,
    chunked
};

/// How the connection of a server ends.
enum class connection_end
{
    closed,
    reset
};

/** A stream of four events with the IDs 1 to 4, as a scripted server sends it.

    The last event but one has two lines of data, and the first line of the
    second event is not an ID.
*/
class recorded_stream
{
public:
    recorded_stream(std::string_view line_end, stream_framing how);

    /// @return The bytes of all events.
    const std::string& body() const
    {
        return this->bytes;
    }

    /// @return The bytes after the event with this ID; all bytes for 0.
    std::string_view after(std::size_t id) const;

    /// @return Whether the first bytes of the body are complete events.
    bool ends_with_event(std::size_t size) const;

    /// @return The head of the response to the request and these bytes, framed.
    std::string response(std::string_view content) const;

    /// @return The size of the head of the response to a first request.
    std::size_t head_size() const;

    /// @return How many bytes of the body the first bytes of the first response
    ///         contain.
    std::size_t decoded_size(std::size_t sent) const;

private:
    stream_framing framing;
    std::string bytes;
    std::vector<std::size_t> event_ends;
};

/// Ends the connection of a server.
void end_connection(edge::tests::backend_peer& peer, connection_end how);

} // namespace roseworks::forward::tests
