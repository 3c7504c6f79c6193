#include "adapters/edge/direct_opener.hpp"

namespace roseworks::edge
{

asio::awaitable<connect_result>
direct_opener::open(backend_connection& connection, duration limit)
{
    const connect_result result =
        co_await connect(connection, limit, this->tcp_user_timeout);
    co_return result;
}

} // namespace roseworks::edge
