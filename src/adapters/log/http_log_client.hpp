#pragma once

#include "adapters/platform/backoff.hpp"
#include "adapters/platform/http_client.hpp"
#include "ports/log_port.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace roseworks::log_client
{

/** Reads and appends to the platform's log over HTTP.

    Reads use long polls on a connection of their own. Appends are sent one at a
    time on a second connection, so that a long poll never delays an append.

    After a read that returned entries, the next read is delayed, so that a busy
    log costs at most one response per `read_interval`. The first
    `burst_reads` reads of a burst aren't delayed, so that entries of a mostly
    idle log are read at once. No read is delayed while the end of the log isn't
    reached, while an append of this router isn't answered or not yet read back,
    or for a while after a call of `hurry`.

    The outcome of an append is `done` after a complete response with status
    200. It is `refused` if no byte was sent or the log responded with a client
    error (4xx). It is `unknown` in every other case, including status 503.

    All calls run on the executor's single thread, and the object must outlive
    the last run of its context.
*/
class http_log_client final : public log_port
{
public:
    struct options
    {
        std::chrono::milliseconds poll_wait{1000};
        std::chrono::milliseconds append_timeout{2000};
        std::chrono::milliseconds connect_timeout{1000};
        /// Minimum interval between reads that return entries; 0: none.
        std::chrono::milliseconds read_interval{0};
        /// Number of reads of a burst that aren't delayed. The allowance grows
        /// by one read per interval.
        int burst_reads = 16;
        /// For how long reads aren't delayed after a call of `expedite_reads`.
        std::chrono::milliseconds urgent_period{2000};
        /// Interval between two reads of the oldest offset that is kept.
        std::chrono::milliseconds retention_check_interval{60000};
        std::chrono::milliseconds retry_min{20};
        std::chrono::milliseconds retry_max{2000};
        std::size_t max_read_bytes = std::size_t(1) << 20; ///< maximum per read
        std::uint64_t seed = 1;
        const tls::connector* tls_connector = nullptr; ///< null: plain HTTP
    };

    http_log_client(
        boost::asio::any_io_executor executor,
        boost::asio::ip::tcp::endpoint server,
        const options& settings,
        platform::byte_meter& meter);

    void start(log_listener& listener) override;
    void tail_from(log_offset from) override;
    void expedite_reads() override;
    void append(append_batch batch) override;
    void stop() override;

private:
    boost::asio::awaitable<void> tail();
    boost::asio::awaitable<void> read_status();
    boost::asio::awaitable<void> read_entries();
    boost::asio::awaitable<void> refresh_offsets();
    boost::asio::awaitable<void> send_pending_appends();
    boost::asio::awaitable<void> wait_for_retry();
    boost::asio::awaitable<void> delay_next_read();
    bool must_read_at_once() const;
    void record_own_append(const std::string& body);
    boost::asio::awaitable<platform::http_answer>
    get(std::string target, std::chrono::milliseconds timeout);
    bool is_current(std::uint64_t started_generation) const;
    void handle_entries(const std::string& body);
    void handle_trimmed(const std::string& body);
    void fail(log_fault fault);

    boost::asio::any_io_executor executor;
    options settings;
    platform::http_client read_client;
    platform::http_client append_client;
    platform::backoff retry_delays;
    boost::asio::steady_timer retry_timer;
    boost::asio::steady_timer pacing_timer;
    std::chrono::steady_clock::time_point urgent_until{};
    /// Until when the reads so far use up the allowed rate.
    std::chrono::steady_clock::time_point paced_until{};
    std::chrono::steady_clock::time_point next_retention_check{};
    log_listener* listener = nullptr;
    log_offset next_read;      ///< 0: waiting for `tail_from`
    log_offset known_end;      ///< the last known end of the log
    log_offset own_append_end; ///< end of this router's last successful append
    bool last_read_had_entries = false;
    bool is_status_known = false;
    bool is_end_stale = false; ///< the last read returned a large part
    bool has_last_read_failed = false;
    bool is_appending = false;
    bool is_stopped = false;
    std::uint64_t generation = 0; ///< number of `tail_from` calls
    std::deque<append_batch> pending_appends;
};

} // namespace roseworks::log_client
