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

/** The platform's log over HTTP.

    Reads by long poll on a connection of their own; appends go out one at a
    time on a second one, so that a slow poll never holds an append back. After
    a read that brought entries the next one waits, so that a busy log costs one
    answer each `gather`; the first `free_reads` of a burst don't wait, so that
   a quiet log is read at once. Nothing waits while the end of the log isn't
    reached, an append of this router isn't answered or not read back, or
    somebody hurries. An
    append is `done` by a whole `200`, `refused` when no byte left or the log
    answered that the request is wrong, and `unknown` in every other case, a
    `503` included. Runs on the executor's single thread and has to outlive
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
        std::chrono::milliseconds gather{0};   ///< 0: never wait
        int free_reads = 16;                   ///< saved up, one each `gather`
        std::chrono::milliseconds hurry{2000}; ///< how long one `hurry` counts
        std::chrono::milliseconds look{60000}; ///< between two of what is kept
        std::chrono::milliseconds retry_min{20};
        std::chrono::milliseconds retry_max{2000};
        std::size_t read_bytes = std::size_t(1) << 20; ///< asked of one read
        std::uint64_t seed = 1;
        const tls::connector* secured_by = nullptr; ///< null: plain HTTP
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
    boost::asio::awaitable<void> refresh_ends();
    boost::asio::awaitable<void> append_all();
    boost::asio::awaitable<void> pause();
    boost::asio::awaitable<void> gather();
    bool somebody_waits() const;
    void note_appended(const std::string& body);
    boost::asio::awaitable<platform::http_answer>
    get(std::string target, std::chrono::milliseconds timeout);
    bool is_current(std::uint64_t started_in) const;
    void take_entries(const std::string& body);
    void take_trimmed(const std::string& body);
    void fail(log_fault fault);

    boost::asio::any_io_executor executor;
    options settings;
    platform::http_client reads;
    platform::http_client appends;
    platform::backoff delays;
    boost::asio::steady_timer pause_timer;
    boost::asio::steady_timer gather_timer;
    std::chrono::steady_clock::time_point hurry_until{};
    std::chrono::steady_clock::time_point paid_until{}; ///< by reads so far
    std::chrono::steady_clock::time_point next_look{};  ///< of what is kept
    log_listener* listener = nullptr;
    log_offset next_read;   ///< 0: wait for `tail_from`
    log_offset known_end;   ///< the log's next offset as far as known
    log_offset own_end;     ///< behind the last own append that is known
    bool delivered = false; ///< the last read brought entries
    bool opened = false;    ///< the first status was read
    bool end_stale = false; ///< a full read: there may be much more
    bool failed = false;    ///< the last read failed
    bool appending = false;
    bool stopped = false;
    std::uint64_t generation = 0; ///< of `tail_from` calls
    std::deque<append_batch> waiting;
};

} // namespace roseworks::log_client
