#pragma once

#include "adapters/edge/caller_connection.hpp"
#include "adapters/forward/forward_context.hpp"
#include "adapters/forward/forward_request.hpp"
#include "adapters/forward/response_head.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>

namespace roseworks::forward
{

namespace asio = boost::asio;

/** Sends a backend server's response to the caller.

    A response whose size is not known when it begins is sent in parts. Its last
    chunk states that it is complete, so `finish` is called only if
    the server has stated the end. The head is sent with the first part: until
    then, another server's response can take the place of this one.

    A caller of HTTP/1.0 knows no chunks. For it the end of the connection ends
    the parts, and without `finish` that end is a reset.

    All functions that send return false if the caller's connection has failed.
*/
class caller_response
{
public:
    /// @param shared   Has to outlive this object, as have the others.
    /// @param answered The request that the response is for.
    caller_response(
        forward_context& shared,
        edge::caller_connection& connection,
        const forward_request& answered);

    /// Sends a response that has been received completely.
    asio::awaitable<bool>
    send_whole(const response_head& head, std::string_view body);

    /// Sends a part of the body.
    /// @param head Head of the response; used if none has been sent.
    asio::awaitable<bool>
    send_part(const response_head& head, std::string_view part);

    /// Ends a response that is sent in parts.
    /// @param rest Last part of the body; may be empty.
    asio::awaitable<bool>
    finish(const response_head& head, std::string_view rest);

    /// @return Whether the head was sent.
    bool has_begun() const
    {
        return this->sent_status != 0;
    }

    /// @return Whether the connection has to end after this response.
    bool ends_connection() const
    {
        return this->is_unframed;
    }

    /// @return The status that the caller received; 0: none.
    unsigned status() const
    {
        return this->sent_status;
    }

private:
    std::string begin(const response_head& head, std::string_view framing);
    std::string begin_parts(const response_head& head);
    void append_part(std::string& bytes, std::string_view part) const;

    forward_context& context;
    edge::caller_connection& caller;
    const forward_request& request;
    unsigned sent_status = 0;
    bool is_unframed = false; ///< sent in parts, but not in chunks
};

} // namespace roseworks::forward
