#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/// A server's limit as it is told to other routers. Ages in place of times:
/// routers' clocks can't be compared.
struct told_server_limit
{
    std::string server;    ///< id of its entry
    double per_second = 0; ///< 0: it names no limit any more
    std::int64_t age_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server, this->per_second, this->age_us);
    }
};

/// A router's word to all others of limits that changed, or still hold. A lost
/// one is told again; a router that missed it learns with its next answer.
struct server_limit_word
{
    std::string router;
    std::vector<told_server_limit> limits;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->router, this->limits);
    }
};

} // namespace roseworks
