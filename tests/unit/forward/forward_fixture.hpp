#pragma once

#include "adapters/edge/direct_opener.hpp"
#include "adapters/edge/shared_dispatcher.hpp"
#include "adapters/events/null_event_sink.hpp"
#include "adapters/forward/forward_server.hpp"
#include "adapters/forward/relayed_notices.hpp"
#include "adapters/platform/system_clock.hpp"
#include "adapters/relay/relay_server.hpp"
#include "adapters/relay/relayed_opener.hpp"
#include "cuttable_opener.hpp"
#include "fake_backend.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace roseworks::forward::tests
{

using edge::tests::backend_peer;
using edge::tests::fake_backend;

constexpr std::string_view ok_response =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n"
    "Content-Length: 5\r\n\r\nhello";

constexpr std::string_view not_run_response =
    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: 9c41\r\n"
    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Holds the blocked requests and records the reports.
class fake_crash_port final : public crash_port
{
public:
    blocked_requests_ptr blocked() const override;
    void run_broken(const broken_run_report& run) override;
    void server_replaced(server_life life) override;
    void run_answered(fingerprint request) override;
    void parts_answered(std::vector<prompt_part> parts, instant began) override;
    void trial_started(fingerprint subject) override;

    std::size_t answered_count() const;

    mutable std::mutex mutex;
    blocked_requests content;
    std::vector<broken_run_report> broken_runs;
    std::vector<server_life> replaced_servers;
    std::vector<fingerprint> answered_requests;
    std::vector<prompt_part> answered_parts;
    std::vector<fingerprint> trials;
};

/// Returns the same decision for all requests and records them.
class fake_quota_port final : public quota_port
{
public:
    void draw(quota_request request, handler on_decision) override;
    void count_request(std::string service) override;
    void refund(std::string account, double amount) override;

    std::mutex mutex;
    std::function<void()> before_decision = [] {};
    quota_decision decision{0, true, {}, {}};
    std::vector<quota_request> recorded_requests;
    std::vector<std::string> counted_services; ///< of each request
    double returned_amount = 0;
};

/// Answers all questions alike and records them. Without an answer of its own
/// it takes version `v1` of service `app` for the only one.
class fake_origin_port final : public origin_port
{
public:
    fake_origin_port();
    void began(stream_key stream, software_version software) override;
    void find(origin_question question, handler on_answer) override;

    std::mutex mutex;
    stream_origin answer;
    std::vector<std::pair<stream_key, software_version>> begun;
    std::vector<origin_question> questions;
};

/** Forwards over real sockets and the real dispatcher to fake backend servers
    of one service without engines.

    Routes: `/once/` (not repeatable), `/again/` (idempotent, two attempts),
    `/stream/` and `/resume/` (streams, the latter resumable), `/open/`
    (idempotent, without an API key) and `/later/` (idempotent, rank 2,
    objective 8 s).
*/
class forward_fixture
{
public:
    /// @param versions Of the servers' software, in order; empty: the same one
    ///                 for all.
    explicit forward_fixture(
        std::vector<fake_backend*> backends,
        std::vector<std::string> versions = {},
        forward_options options = {});
    ~forward_fixture();

    forward_fixture(const forward_fixture&) = delete;
    forward_fixture& operator=(const forward_fixture&) = delete;

    /// Removes the serving table, as before the first configuration.
    void clear_table();

    /// From now on callers need API keys. Organisation `o1` holds `key-one` and
    /// has a limit. `o2` holds `key-two`, has no limit and is less urgent. The
    /// route `/open/` needs no key.
    void use_organisations();

    /// Changes the configuration: `o1` no longer holds a key.
    void revoke_first_key();

    /// Blocks a request without a body as one that crashes servers.
    /// @param length Length of the block from now on.
    void block_request(
        std::string_view method,
        std::string_view target,
        duration length = std::chrono::hours(1));

    /// Blocks a part of prompts.
    /// @param list Parts as callers name them; the first is blocked.
    void
    block_part(std::string_view list, duration length = std::chrono::hours(1));

    /// Limits a server: it gets no more requests, because each permit is
    /// refused.
    /// @param index Of the server, from 0.
    void limit_server(std::size_t index);

    /// From now on permits are neither given nor refused.
    void withhold_permits()
    {
        this->permits_withheld = true;
    }

    /// Tells this router of another one, which has the same servers.
    void know_router(const forward_fixture& other)
    {
        this->know_routers({&other});
    }

    /// Tells this router of all others.
    void know_routers(const std::vector<const forward_fixture*>& others);

    /// @return Number of connections that this router relays for others.
    std::size_t relayed_connections();

    /// From now on this router relays no further connections.
    void start_drain();

    /// From now on this router sends no request to a server.
    void stop_sending();

    /// @return Address where other routers ask for connections.
    boost::asio::ip::tcp::endpoint relay_endpoint() const
    {
        return this->relays.local_endpoint();
    }

    /// @return Attempts that hold a slot of a server.
    std::size_t running_attempts() const
    {
        return this->dispatch->in_flight();
    }

    /// @return The metrics of forwarding.
    const forward_metrics& counters() const
    {
        return this->forward_counters;
    }

    /// @return Permits that were requested so far.
    int permit_requests() const
    {
        return this->permits_requested;
    }

    /// Refuses the calls that wait although their requests are blocked.
    void refuse_blocked();

    fake_crash_port crashes;
    fake_origin_port origins;

    /// Opens the connections to the servers that this router opens itself.
    cuttable_opener direct;

    /// Whether other routers have a newer configuration.
    std::atomic<bool> is_outdated{false};

    /// Decides on the limits of organisations.
    fake_quota_port limits;

    /// @return Servers to which no connection could be opened, in order.
    std::vector<std::string> failed_connects();

    /// The rate limit that one response of a server named.
    struct rate_limit_report
    {
        std::string server;
        std::optional<double> requests_per_second;
    };

    /// @return One report for each response of a server, in order. A server
    ///         that named a limit gets no more requests, because each permit
    ///         is refused.
    std::vector<rate_limit_report> reported_rate_limits();

    /// Sends bytes on a new connection.
    /// @return All bytes received until the connection ends.
    std::string exchange(std::string_view bytes);

    /// Does the same.
    /// @param ended Receives how the connection ended.
    std::string
    exchange(std::string_view bytes, boost::system::error_code& ended);

    /// @param headers Additional header lines, each with its line end.
    /// @return        A request with `Connection: close`.
    static std::string request(
        std::string_view method,
        std::string_view target,
        std::string_view headers = {});

    /// Sends a request and closes the connection after the first byte of the
    /// response.
    void disconnect_during_response(std::string_view bytes);

    /// Sends a request and closes the connection as soon as the condition
    /// holds.
    void disconnect_when(
        std::string_view bytes, const std::function<bool()>& condition);

    /// Sends a request and closes the connection after quota was requested for
    /// it.
    void disconnect_during_quota_wait(std::string_view bytes);

private:
    boost::asio::ip::tcp::socket connect();
    forward_context make_context(const forward_options& options);
    /// Runs an action on the event loop and waits for its end.
    void run_on_loop(const std::function<void()>& action);
    serving_table_ptr newest_table();
    void record_rate_limit(
        const std::string& server, std::optional<double> requests_per_second);

    platform::system_clock clock;
    events::null_event_sink sink;
    metrics::metrics_registry registry;
    forward_metrics forward_counters;
    boost::asio::io_context event_loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        loop_guard;
    std::mutex mutex;
    std::vector<fake_backend*> servers;
    std::vector<std::string> versions;
    serving_table_ptr table;
    std::atomic<int> permits_requested{0};
    std::atomic<bool> permits_withheld{false};
    std::vector<std::string> unreachable_servers;
    std::vector<rate_limit_report> rate_limit_reports;
    std::shared_ptr<edge::shared_dispatcher> dispatch;
    relay::relayed_opener opener;
    forward_context context;
    forward_server server;
    relayed_notices notices;
    relay::relay_server relays;
    std::thread thread;
};

} // namespace roseworks::forward::tests
