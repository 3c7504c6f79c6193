#pragma once

#include "adapters/edge/direct_opener.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <set>
#include <string>

namespace roseworks::forward::tests
{

/// How a network refuses new connections to servers.
enum class cut : std::uint8_t
{
    none,
    silent,  ///< no answer within the time limit
    refusing ///< each connection is refused
};

/// Connects directly, as long as the network isn't cut.
class cuttable_opener final : public edge::connection_opener
{
public:
    edge::asio::awaitable<edge::connect_result>
    open(edge::backend_connection& connection, duration limit) override
    {
        const cut how = this->network.load();
        ++this->attempts;
        if (how == cut::refusing)
            co_return edge::connect_result::refused;
        if (how == cut::silent)
        {
            // The time limit itself would only cost time.
            edge::asio::steady_timer timer(connection.stream.get_executor());
            timer.expires_after(std::min<duration>(limit, silence));
            co_await timer.async_wait(edge::use_awaitable_tuple);
            co_return edge::connect_result::failed;
        }
        const edge::connect_result result =
            co_await this->working.open(connection, limit);
        co_return result;
    }

    bool may_reuse(const edge::backend_connection&) const override
    {
        return true;
    }

    std::atomic<cut> network{cut::none};
    std::atomic<int> attempts{0};

private:
    static constexpr duration silence = std::chrono::milliseconds(20);

    edge::direct_opener working{std::chrono::milliseconds(2500)};
};

} // namespace roseworks::forward::tests
