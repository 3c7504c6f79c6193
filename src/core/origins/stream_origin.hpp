#pragma once

#include <roseworks/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks
{

/// How a router knows the origin of a stream.
enum class origin_source : std::uint8_t
{
    unknown,
    own_record,  ///< this router recorded or received it before
    router,      ///< another router answered
    only_version ///< no other version was in service for long enough
};

constexpr std::string_view to_string(origin_source source)
{
    switch (source)
    {
    case origin_source::unknown:
        return "unknown";
    case origin_source::own_record:
        return "own_record";
    case origin_source::router:
        return "router";
    case origin_source::only_version:
        return "only_version";
    }
    return "unknown";
}

/// The software that began a stream.
struct stream_origin
{
    software_version software; ///< 0: unknown
    origin_source source = origin_source::unknown;
    std::string from; ///< router that answered; empty: none
};

} // namespace roseworks
