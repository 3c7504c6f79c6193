#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::relay
{

/// How another router answers when it is asked to open a connection.
enum class relay_status : std::uint8_t
{
    no_reply = 0,    ///< it didn't answer, or not understandably
    opened = 1,      ///< the rest of the connection is the server's
    refused = 2,     ///< the server refused the connection
    unreachable = 3, ///< the server didn't answer in time
    not_listed = 4,  ///< it knows no server at the address
    busy = 5,        ///< it shuts down, or relays as many as it may
    cut_off = 6,     ///< it reaches no servers itself, but others do
    not_tried = 7    ///< it has just got no answer from the server itself
};

/// Number of the last status.
inline constexpr std::uint8_t last_relay_status = 7;

/// @return The name that log lines use.
constexpr std::string_view to_string(relay_status status)
{
    switch (status)
    {
    case relay_status::no_reply:
        break;
    case relay_status::opened:
        return "opened";
    case relay_status::refused:
        return "refused";
    case relay_status::unreachable:
        return "unreachable";
    case relay_status::not_listed:
        return "not_listed";
    case relay_status::busy:
        return "busy";
    case relay_status::cut_off:
        return "cut_off";
    case relay_status::not_tried:
        return "not_tried";
    }
    return "no_reply";
}

/// Asks a router for a connection to a backend server. The first message on a
/// connection between routers.
struct relay_request
{
    std::string server; ///< ip:port of a registered server
    bool test_only =
        false; ///< whether the connection is closed after the reply

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server, this->test_only);
    }
};

/// The answer. If it is `opened`, the bytes of the server's connection follow.
struct relay_reply
{
    std::uint8_t status = 0; ///< a `relay_status`

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->status);
    }
};

} // namespace roseworks::relay
