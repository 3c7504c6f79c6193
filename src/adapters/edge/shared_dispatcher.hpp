#pragma once

#include "ports/clock.hpp"
#include "ports/dispatch_port.hpp"

#include <roseworks/dispatcher.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace roseworks::edge
{

/** Makes the `dispatcher` of the router available to all traffic threads.

    Every call is one short critical section. Replies and notifications are
    delivered after the lock is released. A timer on the given executor calls
    `dispatcher::tick` when it is due. Thread-safe. Must be owned by a
    `shared_ptr`.
*/
class shared_dispatcher : public dispatch_port,
                          public std::enable_shared_from_this<shared_dispatcher>
{
public:
    /// Callbacks that notify the control thread. Called from any thread; must
    /// not block.
    struct callbacks
    {
        std::function<void(const demand&)> on_demand;
        std::function<void(const crash_seen&)> on_crash;
        std::function<void(const permit_wanted&)> on_permit_wanted;
        std::function<void(const place_released&)> on_place_released =
            [](const place_released&) {};
        std::function<void(const permit_cancelled&)> on_permit_cancelled =
            [](const permit_cancelled&) {};
    };

    /// @param core     The dispatcher.
    /// @param executor Runs the timer.
    /// @param clock    The steady clock.
    /// @param notify   Receives demand, crashes and permit requests.
    static std::shared_ptr<shared_dispatcher> make(
        dispatcher core,
        const boost::asio::any_io_executor& executor,
        const clock_port& clock,
        callbacks notify);

    ticket submit(request_info info, reply_handler handler) override;
    dispatcher::finish
    finished(ticket request, const attempt_result& result) override;
    std::optional<grant> hedge(ticket running, reply_handler handler) override;
    void server_stated(
        const server_place& place,
        std::string_view instance,
        const server_notice& notice) override;
    bool takes_requests(
        const server_place& place, std::string_view instance) const override;
    void abandon(ticket request) override;
    void drain() override;

    /// See the functions of the same name in `dispatcher`.
    void table_changed(routing_table_ptr table);
    void load_reported(const load_report& report);
    /// @param lifetime Time until the estimate expires.
    void
    pace_estimated(engine_id engine, std::uint32_t percent, duration lifetime);
    void routers_alive(std::size_t count);
    void cache_reported(const cache_report& report);
    void vm_leaving(std::string_view vm, bool leaving);
    /// A server that had asked for a pause has restarted.
    void pause_ended(const server_place& server);
    void crash_examined(const crash_seen& what, crash_finding finding);
    void server_limited(const server_place& server, double per_second);
    void server_counted(const server_place& server, bool counted);
    /// @param wait Time until the permit becomes valid.
    void permit_given(const server_place& server, duration wait);
    void permit_refused(const server_place& server, duration retry_after);
    bool permit_withdrawn(const server_place& server);

    std::size_t queued() const;
    std::size_t in_flight() const;

    /// Stops the timer, so that the event loop can run out of work.
    void stop();

private:
    /// Replies and notifications to deliver after the lock is released.
    struct pending_output
    {
        std::vector<std::pair<reply_handler, reply>> replies;
        std::vector<demand> demands;
        std::vector<crash_seen> crashes;
        std::vector<permit_wanted> permits;
        std::vector<place_released> places;
        std::vector<permit_cancelled> cancelled_permits;
        bool restart_timer_needed = false;
    };

    shared_dispatcher(
        dispatcher owned,
        const boost::asio::any_io_executor& executor,
        const clock_port& time,
        callbacks listener);

    /// Runs `step(now)` under the lock, then delivers the resulting output.
    template <class Step>
    void with_lock(Step step);
    pending_output collect();
    void collect(pending_output& into, const dispatch_command& command);
    void
    collect_reply(pending_output& into, const reply& answer, ticket request);
    void deliver(const pending_output& what);
    void schedule_timer_restart();
    void restart_timer();
    void tick();

    mutable std::mutex mutex;
    dispatcher core;
    std::unordered_map<ticket, reply_handler> waiters;
    std::optional<instant> timer_due;
    bool stopped = false;
    /// Whether any server has asked for a pause so far.
    std::atomic<bool> had_pauses{false};

    const clock_port& clock;
    callbacks notify;
    boost::asio::any_io_executor timer_executor;
    boost::asio::steady_timer timer; ///< used on its executor only
};

} // namespace roseworks::edge
