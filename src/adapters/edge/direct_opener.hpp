#pragma once

#include "adapters/edge/connection_opener.hpp"

#include <chrono>

namespace roseworks::edge
{

/// Connects to backend servers directly.
class direct_opener final : public connection_opener
{
public:
    /// @param user_timeout The value of `TCP_USER_TIMEOUT`.
    explicit direct_opener(std::chrono::milliseconds user_timeout)
        : tcp_user_timeout(user_timeout)
    {
    }

    asio::awaitable<connect_result>
    open(backend_connection& connection, duration limit) override;

    bool may_reuse(const backend_connection&) const override
    {
        return true;
    }

private:
    std::chrono::milliseconds tcp_user_timeout;
};

} // namespace roseworks::edge
