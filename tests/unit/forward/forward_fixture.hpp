#pragma once

#include "adapters/edge/shared_dispatcher.hpp"
#include "adapters/events/null_event_sink.hpp"
#include "adapters/forward/forward_server.hpp"
#include "adapters/platform/system_clock.hpp"
#include "fake_backend.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace roseworks::forward::tests
{

using edge::tests::backend_peer;
using edge::tests::fake_backend;

/** Forwarding over real sockets and the real dispatcher, to fake backend
    servers of one plain service. Routes: `/once/` (not repeatable), `/again/`
    (idempotent, two attempts), `/stream/` and `/resume/` (streams, the latter
    resumable). */
class forward_fixture
{
public:
    explicit forward_fixture(std::vector<fake_backend*> backends);
    ~forward_fixture();

    forward_fixture(const forward_fixture&) = delete;
    forward_fixture& operator=(const forward_fixture&) = delete;

    /// Forgets the configuration: as before the first one.
    void without_table();

    /// @return Servers to which no connection could be opened, in order.
    std::vector<std::string> unreached();

    /// Sends bytes on a new connection.
    /// @return All that comes until the connection ends.
    std::string exchange(std::string_view bytes);

    /// A request that ends its connection.
    static std::string
    request(std::string_view method, std::string_view target);

    /// Sends a request, and closes the connection without an answer.
    void leave(std::string_view bytes);

private:
    boost::asio::ip::tcp::socket connect();
    forward_context make_context();

    platform::system_clock clock;
    events::null_event_sink sink;
    metrics::metrics_registry registry;
    forward_metrics counts;
    boost::asio::io_context loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work;
    std::mutex mutex;
    serving_table_ptr table;
    std::vector<std::string> unreached_servers;
    std::shared_ptr<edge::shared_dispatcher> dispatch;
    forward_context context;
    forward_server server;
    std::thread thread;
};

} // namespace roseworks::forward::tests
