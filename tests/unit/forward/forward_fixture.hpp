#pragma once

#include "adapters/edge/shared_dispatcher.hpp"
#include "adapters/events/null_event_sink.hpp"
#include "adapters/forward/forward_server.hpp"
#include "adapters/platform/system_clock.hpp"
#include "fake_backend.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
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
/// Allows all, or refuses all; keeps what it was asked.
class fake_limits final : public quota_port
{
public:
    void draw(quota_request request, handler told) override;
    void refund(std::string organisation, double amount) override;

    std::mutex mutex;
    quota_decision next{0, true, {}, {}};
    std::vector<quota_request> asked;
    double returned = 0;
};

class forward_fixture
{
public:
    explicit forward_fixture(std::vector<fake_backend*> backends);
    ~forward_fixture();

    forward_fixture(const forward_fixture&) = delete;
    forward_fixture& operator=(const forward_fixture&) = delete;

    /// Forgets the configuration: as before the first one.
    void without_table();

    /// From now on callers need keys. Organisation `o1` holds `key-one` and
    /// has a limit; `o2` holds `key-two`, has none and is less urgent. The
    /// route `/open/` needs no key.
    void with_organisations();

    /// The configuration without the key of `o1`.
    void drop_first_key();

    /// Other routers have a newer configuration.
    std::atomic<bool> is_behind{false};

    /// Limits of organisations.
    fake_limits limits;

    /// @return Servers to which no connection could be opened, in order.
    std::vector<std::string> unreached();

    /// What one answer of a server said of its rate limit.
    struct server_word
    {
        std::string server;
        std::optional<double> per_second;
    };

    /// @return What servers said of their rate limits, in order. A limited
    ///         server gets nothing more: each permit is refused.
    std::vector<server_word> limits_named();

    /// Sends bytes on a new connection.
    /// @return All that comes until the connection ends.
    std::string exchange(std::string_view bytes);

    /// A request that ends its connection.
    /// @param headers lines beside the usual ones, each with its line end
    static std::string request(
        std::string_view method,
        std::string_view target,
        std::string_view headers = {});

    /// Sends a request, and closes the connection without an answer.
    void leave(std::string_view bytes);

    /// Sends a request, and closes the connection once its limit was asked
    /// for.
    void depart(std::string_view bytes);

private:
    boost::asio::ip::tcp::socket connect();
    forward_context make_context();
    void limit_named(const std::string& server, std::optional<double> named);

    platform::system_clock clock;
    events::null_event_sink sink;
    metrics::metrics_registry registry;
    forward_metrics counts;
    boost::asio::io_context loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work;
    std::mutex mutex;
    std::vector<fake_backend*> servers;
    serving_table_ptr table;
    std::vector<std::string> unreached_servers;
    std::vector<server_word> named_limits;
    std::shared_ptr<edge::shared_dispatcher> dispatch;
    forward_context context;
    forward_server server;
    std::thread thread;
};

} // namespace roseworks::forward::tests
