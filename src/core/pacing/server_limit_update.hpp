#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/// A server's limit as sent to other routers. It carries an age instead of a
/// timestamp because the clocks of different routers can't be compared.
struct server_limit_entry
{
    std::string server;    ///< id of the server's registry entry
    double per_second = 0; ///< 0: the limit has ended
    std::int64_t age_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server, this->per_second, this->age_us);
    }
};

/// Message from one router to all others about limits that changed or still
/// hold. The message is repeated in case packets are lost. A router that misses
/// every copy learns the limit from the next answer of the server.
struct server_limit_update
{
    std::string router;
    std::vector<server_limit_entry> limits;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->router, this->limits);
    }
};

} // namespace roseworks
