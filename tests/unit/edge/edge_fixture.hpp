#pragma once

#include "adapters/edge/server.hpp"
#include "fake_backend.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace roseworks::edge::tests
{

/// A dispatcher that grants every request at once for one address. It retries
/// as the real dispatcher does, up to three attempts.
class fake_dispatch : public dispatch_port
{
public:
    ticket submit(request_info info, reply_handler handler) override;
    dispatcher::finish
    finished(ticket request, const attempt_result& result) override;
    void abandon(ticket request) override;
    void drain() override;

    std::vector<attempt_result> results() const;

    std::string address;
    std::atomic<bool> grants_enabled{true};
    std::atomic<int> submitted{0};
    std::atomic<int> abandoned{0};
    std::atomic<bool> drained{false};

private:
    struct entry
    {
        request_info info;
        reply_handler handler;
        std::uint32_t attempts = 0;
    };

    void send_grant(ticket request, entry& what);

    mutable std::mutex mutex;
    std::map<ticket, entry> entries;
    std::vector<attempt_result> ended;
    std::uint64_t last = 0;
};

/// Returns the same result for every claim and records the closed claims.
class fake_claims : public claim_port
{
public:
    void claim(const claim_request& asked, result_handler handler) override;
    void close(claim_close what) override;
    std::vector<claim_close> closed() const;

    claim_result given; ///< set before the first call
    std::atomic<int> claimed{0};
    std::atomic<claim_content> asked_content{0}; ///< of the last claim
    std::atomic<stamp_ms> asked_issued{0};

private:
    mutable std::mutex mutex;
    std::vector<claim_close> closes;
};

class fake_observer : public traffic_observer
{
public:
    void request_finished(const finished_request&) override
    {
        ++this->finished;
    }
    void stream_opened() override
    {
        ++this->streams;
    }
    void stream_closed() override
    {
        --this->streams;
    }
    void late_answer_dropped() override
    {
        ++this->late;
    }
    void connection_silent(std::string_view) override
    {
        ++this->silent;
    }
    void caller_limit_met(roseworks::receive_limit, std::uint64_t) override {}
    void caller_connected() override {}
    void caller_disconnected() override {}

    std::atomic<int> finished{0};
    std::atomic<int> streams{0};
    std::atomic<int> late{0};
    std::atomic<int> silent{0};
};

struct fake_introspection : introspection_port
{
    bool ready() const override
    {
        return true;
    }
    std::string metrics_text() const override
    {
        return "up 1\n";
    }
    std::string state_text() const override
    {
        return "{}";
    }
};

struct null_events : event_sink
{
    void emit(const event_record&) noexcept override {}
};

struct steady_clock_port : clock_port
{
    instant now() const override;
    stamp_ms wall() const override
    {
        return 0;
    }
};

using http_answer =
    boost::beast::http::response<boost::beast::http::string_body>;

/// An HTTP client with a blocking socket.
class test_caller
{
public:
    explicit test_caller(std::uint16_t port);

    void send(std::string_view text);
    /// @return The next response; empty if the connection ends before it.
    std::optional<http_answer> read();
    /// @return All bytes up to and including `delimiter`, or up to the end.
    std::string read_until(std::string_view delimiter);
    void close();

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

/// The edge on an ephemeral loopback port, with two traffic threads.
class edge_fixture
{
public:
    /// @param certificate Returns the TLS context for callers; empty: plain
    ///                    HTTP.
    explicit edge_fixture(
        edge_options options = {},
        std::function<tls::context_ptr()> certificate = {});
    ~edge_fixture();

    std::uint16_t start();
    test_caller caller();
    /// @return The response to one request on a separate connection.
    http_answer call(std::string_view text);

    fake_dispatch dispatch;
    fake_claims claims;
    fake_observer observer;
    fake_introspection introspection;
    null_events events;
    steady_clock_port clock;
    std::unique_ptr<server> edge;

private:
    using guard = boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<boost::asio::io_context>> loops;
    std::vector<guard> guards;
    std::vector<std::thread> threads;
    std::uint16_t port = 0;
};

/// Polls until the condition holds.
/// @return False if it does not hold within 20 s.
bool eventually(const std::function<bool()>& condition);

/// @return The text of a completion request.
std::string
completion(std::string_view extra_headers = {}, bool stream = false);

/// @return The text of a service request.
std::string service_call(std::string_view extra_headers = {});

} // namespace roseworks::edge::tests
