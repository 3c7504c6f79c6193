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

/** The dispatcher's state; its rules are split by event over the sources of
    this folder. Hint, apart from the promise that `dispatcher` states. */
class dispatcher::impl
{
public:
    explicit impl(options settings);

    // Arrival and end of requests.
    ticket submit(request_info info, instant now);
    finish finished(ticket id, const attempt_result& result, instant now);
    void abandon(ticket id, instant now);
    void
    crash_examined(const crash_seen& what, crash_finding finding, instant now);

    // What changes around them.
    void table_changed(routing_table_ptr next, instant now);
    void load_reported(const load_report& report, instant now);
    void cache_reported(const cache_report& report, instant now);
    void server_limited(const server_place&, double per_second, instant now);
    void permit_given(const server_place& server, instant from, instant now);
    void permit_refused(const server_place&, duration retry_after, instant now);
    bool permit_withdrawn(const server_place& server);
    void routers_alive(std::size_t count, instant now);
    void vm_leaving(std::string_view vm, bool leaving, instant now);
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
        queued,  ///< in its target's queue
        suspect, ///< among its target's suspects
        granted
    };

    struct pending
    {
        request_info info;
        detail::queue_item item;
        detail::target* where = nullptr;
        stage at = stage::queued;
        bool suspect = false;      ///< to run alone, by this router's own sight
        bool may_have_run = false; ///< an attempt may have reached a server
        bool resumed = false;      ///< a stream continued after a cut
        bool awaits_findings = false; ///< not granted before they came
        std::uint32_t attempts = 0;   ///< granted so far
        std::uint32_t fruitless = 0;  ///< of them, since the caller got tokens
        detail::crash_count crashes;
        refusal_reason failure = refusal_reason::none; ///< of the last attempt
        replica_id replica;                     ///< of the running attempt
        std::string address;                    ///< of the running attempt
        detail::server_key server{};            ///< of the running attempt
        std::optional<detail::server_key> hold; ///< kept idle for this suspect
        std::vector<detail::server_key> tried;
        /// A limited server's permit was asked for on its behalf: it waits for
        /// the answer until then.
        std::optional<instant> permit_awaited;
    };

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
    refusal_reason check_target(const detail::target& where, instant now) const;
    detail::target* find_target(const request_info& info, instant now);
    detail::queue_item make_item(
        ticket id,
        const request_info& info,
        detail::caller_number caller,
        const caller_spec& spec,
        instant now) const;
    void admit(ticket id, instant now);
    bool make_room(const request_info& info, priority level);
    void trim(ticket newest);
    std::optional<detail::queue_item>
    least_wanted(const detail::target* only, priority below) const;
    void turn_away(ticket id, refusal_reason reason, duration retry_after);
    void purge(instant now);

    // dispatcher_pump.cpp
    void refresh(detail::target& where, instant now);
    void pump(detail::target& where, instant now);
    bool grant_next(
        detail::target& where, std::vector<detail::queue_item>& aside, instant);
    void grant_to(pending& request, detail::backend& chosen, bool alone);
    void pump_one(detail::target& where, instant now);
    void pump_if_freed(instant now);
    void place_suspect(detail::target& where, instant now);
    detail::backend*
    suspect_backend(detail::target& where, const pending& request, instant now);
    void release_hold(ticket id);
    void note_waiting(detail::target& where);

    // dispatcher_permits.cpp
    /// Asks for permits to send to limited servers of a target for which
    /// requests wait.
    void ask_for_permits(const detail::target& where, instant now);
    /// @return Whether a request that could go elsewhere waits for the answer
    ///         to an ask: else limited servers would get nothing while there
    ///         are others, and nobody would see their limits end.
    bool awaits_permit(
        const detail::target& where,
        pending& request,
        std::span<std::size_t const> usable,
        instant now);
    /// @return Waiting targets that have a server, who is to go first in front.
    std::vector<detail::target*> waiting_at(detail::server_key server) const;
    /// @return Requests of other targets that wait for the same servers.
    std::size_t waiting_beside(
        const detail::target& where, std::span<std::size_t const> usable) const;
    void ask_for_permit(const detail::backend& one, bool waits, instant now);
    /// How soon requests of a target can start where all its servers are
    /// limited.
    struct limited_outlook
    {
        duration next{};             ///< until the first one
        double permits_a_second = 0; ///< of this router; 0: no such bound
        std::size_t beside = 0;      ///< requests of others that go before

        duration wait(std::size_t ahead) const;
    };

    limited_outlook limited_outlook_of(
        const detail::target& where,
        std::span<std::size_t const> usable,
        instant now) const;

    // dispatcher_finish.cpp
    void release_slot(pending& request);
    void note_crash(pending& request, engine_id engine, bool resumable);
    void note_failure(pending& request, const attempt_result& result);
    bool may_retry(const pending& request, const attempt_result& result) const;
    bool may_recover(const pending& request, instant now) const;
    finish wait_for_recovery(pending& request, instant now);
    duration expected_back(const pending& request, instant now);
    finish failed(pending& request, const attempt_result& result, instant now);
    finish end(ticket id, finish outcome);
    void enqueue(pending& request);
    void dequeue(pending& request);
    void forget(ticket id);
    void refuse(ticket id, refusal_reason reason, duration retry_after);

    // dispatcher_tick.cpp
    duration predicted_wait(
        const detail::target& where,
        const detail::queue_item& item,
        std::size_t ahead,
        std::span<std::size_t const> usable,
        const limited_outlook& limits,
        instant now) const;
    duration remaining_cold(const detail::target& where, instant now) const;
    duration spread(duration value);
    bool can_start(
        const detail::target& where,
        const detail::queue_item& item,
        duration wait,
        instant now) const;
    void examine(detail::target& where, instant now);
    void serve_waiting(detail::target& where, instant now);
    void refuse_all(detail::target& where, refusal_reason, duration);
    void ask_for_replicas(detail::target& where, instant now);
    instant earliest_objective(const detail::target& where, instant now) const;
    void send_demand(detail::target& where, instant now);
    /// The same for a request that was just queued: an earlier time that
    /// nothing waits for any more is replaced.
    void due_by(instant when);
    void due_no_later(instant when);

    options settings;
    routing_table_ptr table;
    std::uint64_t generation = 0;
    detail::caller_limits limits;
    detail::server_loads loads;
    detail::prefix_map cached;
    detail::balancer chooser;
    std::mt19937_64 random;
    targets servables;
    targets services;
    detail::target::leaving_vms leaving;
    std::set<detail::target*, by_number> waiting;
    std::unordered_map<ticket, pending> requests;
    std::vector<dispatch_command> commands;
    std::optional<instant> due;
    std::uint64_t last_ticket = 0;
    std::uint32_t last_target = 0;
    std::size_t limited_servers = 0; ///< that named a rate limit
    std::size_t queued_count = 0;
    std::size_t held_bytes = 0;
    std::array<std::size_t, detail::class_count> queued_bytes{};
    instant last_purge;
    bool draining = false;
    bool shared_server_free = false; ///< other targets may start there now
};

} // namespace roseworks
