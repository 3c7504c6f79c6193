#pragma once

#include "core/admission/caller_limits.hpp"
#include "core/request/crash_count.hpp"
#include "core/request/target.hpp"
#include "core/routing/prefix_map.hpp"

#include <roseworks/dispatcher.hpp>

#include <array>
#include <memory>
#include <unordered_map>

namespace roseworks
{

/** State and logic of the dispatcher.

    The member functions are split over the dispatcher_*.cpp files by event.
    Apart from the guarantee that `dispatcher` documents, all state is advisory:
    stale or wrong values cannot break a guarantee. */
class dispatcher::impl
{
public:
    explicit impl(options settings);

    // Request lifecycle.
    ticket submit(request_info info, instant now);
    finish finished(ticket id, const attempt_result& result, instant now);
    void abandon(ticket id, instant now);
    std::optional<grant> hedge(ticket running, instant now);
    void
    crash_examined(const crash_seen& crash, crash_finding finding, instant now);

    // Changes to the environment.
    void table_changed(routing_table_ptr next, instant now);
    void load_reported(const load_report& report, instant now);
    void pace_estimated(engine_id engine, std::uint32_t percent, instant until)
    {
        this->loads.pace_estimated(engine, percent, until);
    }
    void cache_reported(const cache_report& report, instant now);
    void server_limited(const server_place&, double per_second, instant now);
    void server_counted(const server_place&, bool counted, instant now);
    void permit_given(const server_place& server, instant from, instant now);
    void permit_refused(const server_place&, duration retry_after, instant now);
    bool permit_withdrawn(const server_place& server);
    void routers_alive(std::size_t count, instant now);
    void vm_leaving(std::string_view vm, bool leaving, instant now);
    void
    server_paused(const server_place& server, duration length, instant now);
    void
    server_took_request(const server_place& server, bool rejected, instant now);
    bool takes_requests(
        const server_place& server, std::string_view vm, instant now) const;
    void drain();
    void tick(instant now);

    std::vector<dispatch_command> take_commands();
    std::optional<instant> next_tick() const;

    std::size_t queued() const
    {
        return this->queued_count;
    }

    std::size_t in_flight() const
    {
        return this->requests.size() - this->queued_count;
    }

private:
    enum class stage : std::uint8_t
    {
        queued,  ///< in `target::queue`
        suspect, ///< in `target::suspects`
        granted  ///< an attempt is running
    };

    struct pending
    {
        request_info info;
        detail::queue_item item;
        detail::target* destination = nullptr;
        stage current_stage = stage::queued;
        /// Must run alone on its server: this router saw it break a connection,
        /// or the routing table lists it as suspect.
        bool suspect = false;
        bool may_have_run = false; ///< an attempt may have reached a server
        bool resumed = false;      ///< its stream was continued after a cut
        /// Neither granted nor refused for its crashes until their servers have
        /// been examined.
        bool awaits_crash_findings = false;
        std::uint32_t attempts = 0; ///< granted so far
        /// Attempts granted since the caller last received tokens.
        std::uint32_t attempts_without_progress = 0;
        detail::crash_count crashes;
        refusal_reason last_failure = refusal_reason::none;
        replica_id replica;          ///< of the running attempt
        std::string address;         ///< of the running attempt
        detail::server_key server{}; ///< of the running attempt
        engine_id engine;            ///< of the running attempt
        /// The running attempt holds a place that has to be released.
        bool holds_place = false;
        /// Server that is kept idle for this suspect request.
        std::optional<detail::server_key> reserved_server;
        std::vector<detail::server_key> tried; ///< servers of failed attempts
        /// When the request stops waiting for the answer to the permit request
        /// that was sent for it. Empty if none was sent.
        std::optional<instant> permit_wait_until;
    };

    /// By name and software.
    using targets =
        std::unordered_map<std::string, std::unique_ptr<detail::target>>;

    struct by_number
    {
        bool operator()(
            const detail::target* left, const detail::target* right) const
        {
            return left->number < right->number;
        }
    };

    // dispatcher_submit.cpp
    refusal_reason
    check_target(const detail::target& destination, instant now) const;
    detail::target* find_or_add_target(const request_info& info, instant now);
    /// @return The budgets of the target without a needed software, if there is
    ///         one; else new ones.
    std::shared_ptr<detail::retry_budgets>
    budgets_of(const request_info& info, const targets& by_name) const;
    /// @return When a caller may return that was refused because of the
    ///         target's state; 0: not known.
    static duration retry_delay_of(const detail::target& destination);
    detail::queue_item make_item(
        ticket id,
        const request_info& info,
        detail::caller_number caller,
        const caller_spec& spec,
        instant now) const;
    void start_or_queue(ticket id, instant now);
    bool free_held_bytes(const request_info& info, priority level);
    void enforce_queue_limits(ticket newest);
    std::optional<detail::queue_item>
    displacement_candidate(const detail::target* only, priority below) const;
    void
    refuse_on_arrival(ticket id, refusal_reason reason, duration retry_after);
    void purge(instant now);

    // dispatcher_grant.cpp
    void refresh(detail::target& destination, instant now);
    void grant_waiting(detail::target& destination, instant now);
    bool grant_next(
        detail::target& destination,
        std::vector<detail::queue_item>& skipped,
        instant);
    /// @return The earliest objective that a request granted now can meet, if
    ///         objectives are served first.
    std::optional<instant> objective_from(
        const detail::target& destination,
        std::span<std::size_t const> usable,
        instant now) const;
    void grant_to(pending& request, detail::backend& chosen, bool alone);
    void grant_waiting_of(detail::target& destination, instant now);
    void grant_waiting_on_freed_servers(instant now);
    void grant_suspects(detail::target& destination, instant now);
    detail::backend* choose_suspect_backend(
        detail::target& destination, const pending& request, instant now);
    void release_reservation(ticket id);
    void update_waiting_set(detail::target& destination);

    // dispatcher_hedge.cpp
    bool may_hedge(const pending& running) const;
    /// @return Index of a backend that the request hasn't been sent to.
    std::optional<std::size_t>
    choose_hedge_backend(const pending& request, instant now);

    // dispatcher_permits.cpp
    /// Requests a permit from each rate-limited server of a target that has
    /// requests waiting and no free slot.
    void request_permits(const detail::target& destination, instant now);
    /// @return Whether a request waits for the answer to a permit request even
    ///         though an unlimited server is available. Without this wait,
    ///         limited servers would get no requests while unlimited ones
    ///         exist, and the end of a limit would go unnoticed.
    bool awaits_permit(
        const detail::target& destination,
        pending& request,
        std::span<std::size_t const> usable,
        instant now);
    /// @return Targets that use a server and have requests waiting, the most
    ///         urgent first.
    std::vector<detail::target*>
    targets_waiting_for(detail::server_key server) const;
    /// @return Number of requests of other targets that wait for these servers.
    std::size_t competing_requests(
        const detail::target& destination,
        std::span<std::size_t const> usable) const;
    /// @param wanted The server in it is set here.
    void request_permit(
        const detail::backend& candidate, permit_wanted wanted, instant now);
    /// @return The orders of permits for the first requests that wait, at least
    ///         as many as `count`.
    std::vector<permit_wanted> first_waiting(
        const detail::target& destination,
        std::size_t count,
        instant now) const;
    /// Changes the order of pending permits that were requested for a request
    /// of another rank.
    void reorder_permits(
        std::span<const detail::backend* const> requested,
        std::span<const permit_wanted> orders,
        instant now);
    /// Requests places from the least loaded servers of a target, one for each
    /// waiting request.
    void request_places(const detail::target& destination, instant now);
    /// Cancels the requests for places that nobody waits for any more.
    void cancel_places(const detail::target& destination, instant now);
    void set_pace(
        const server_place& server,
        double per_second,
        bool counted,
        instant now);
    /// Uses the places that were given up for requests that wait here, within
    /// bounds, and releases the others.
    void pass_on_places(instant now);
    /// Releases a permit that no request has used.
    void release_unused(const server_place& server);
    /// How soon requests of a target can start if all its servers are
    /// rate-limited.
    struct rate_limit_forecast
    {
        duration until_first{}; ///< until the first request can start
        /// Permits per second that this router gets; 0: not rate-limited.
        double permits_per_second = 0;
        /// Requests of other targets expected to start first.
        std::size_t competing = 0;

        duration wait(std::size_t ahead) const;
    };

    /// @param rank Of the request that waits.
    rate_limit_forecast forecast_rate_limit(
        const detail::target& destination,
        std::span<std::size_t const> usable,
        std::uint8_t rank,
        instant now) const;
    /// @return The rank by which a request waits for permits.
    std::uint8_t permit_rank(const detail::queue_item& item) const;

    // dispatcher_finish.cpp
    void release_slot(pending& request, bool rejected = false);
    void record_crash(pending& request, engine_id engine, bool resumable);
    void update_after_failure(pending& request, const attempt_result& result);
    bool may_retry(const pending& request, const attempt_result& result) const;
    bool may_recover(const pending& request, instant now) const;
    finish wait_for_recovery(pending& request, instant now);
    duration retry_delay_after_failure(const pending& request, instant now);
    finish
    attempt_failed(pending& request, const attempt_result& result, instant now);
    finish finalize(ticket id, finish outcome);
    /// Lets only servers of a software continue the request's answer.
    /// @return Whether there is a server that can, or will be able to.
    bool
    need_software(pending& request, software_version software, instant now);
    void enqueue(pending& request);
    void dequeue(pending& request);
    void forget(ticket id);
    void refuse(ticket id, refusal_reason reason, duration retry_after);

    // dispatcher_tick.cpp
    /// @return Time until a server takes requests, if the request can't be
    ///         served in time then; else empty.
    std::optional<duration>
    hopeless_wait(const pending& request, instant now) const;
    /// @return Time until the first of the usable servers takes requests; 0 if
    ///         one takes them now, or there is none.
    duration until_a_server_takes_requests(
        const detail::target& destination,
        std::span<std::size_t const> usable,
        instant now) const;
    duration predicted_wait(
        const detail::target& destination,
        const detail::queue_item& item,
        std::size_t ahead,
        std::span<std::size_t const> usable,
        const rate_limit_forecast& forecast,
        instant now) const;
    duration
    remaining_cold_start(const detail::target& destination, instant now) const;
    duration add_jitter(duration value);
    bool can_meet_deadline(
        const detail::target& destination,
        const detail::queue_item& item,
        duration wait,
        instant now) const;
    void refuse_late(detail::target& destination, instant now);
    void update_waiting(detail::target& destination, instant now);
    void refuse_all(detail::target& destination, refusal_reason, duration);
    void request_replicas(detail::target& destination, instant now);
    instant
    earliest_objective(const detail::target& destination, instant now) const;
    void send_demand(detail::target& destination, instant now);
    /// Schedules the tick for a request that was just queued. If it is the only
    /// queued request, the tick time left over from earlier requests is
    /// replaced, even if it is earlier.
    void schedule_tick_for_queued(instant when);
    /// Moves the next tick forward to `when` if it is later than that.
    void schedule_tick_by(instant when);

    options settings;
    routing_table_ptr table;
    std::uint64_t generation = 0;
    detail::caller_limits limits;
    detail::server_loads loads;
    detail::prefix_map prefix_caches;
    detail::balancer replica_balancer;
    std::mt19937_64 random;
    targets servables;
    targets services;
    detail::target::leaving_vms leaving;
    std::set<detail::target*, by_number> waiting;
    std::unordered_map<ticket, pending> requests;
    std::vector<dispatch_command> commands;
    std::optional<instant> next_tick_time;
    std::uint64_t last_ticket = 0;
    std::uint32_t last_target = 0;
    std::size_t limited_server_count = 0; ///< servers with a rate limit
    std::size_t queued_count = 0;
    std::size_t held_bytes = 0;
    std::array<std::size_t, detail::class_count> queued_bytes{};
    instant last_purge;
    bool draining = false;
    /// A server became available that requests of other targets may wait for.
    bool shared_server_freed = false;
    std::vector<place_released> freed_places; ///< since the last call
};

} // namespace roseworks
