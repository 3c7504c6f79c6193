#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/routing_table.hpp>
#include <roseworks/verdict.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace roseworks
{

/// Identifies a request in the dispatcher; unique during a router's run.
using ticket = strong_id<struct ticket_tag, std::uint64_t>;

/// Properties of a request that admission and dispatching use.
struct request_info
{
    std::string target; ///< name of a servable or service
    bool is_service = false;
    std::string caller = "anonymous";
    priority asked = priority::normal; ///< capped by the caller's class
    /// Position among all requests, 0 to 9; 0 is first. Finer than `asked`.
    std::uint8_t rank = 0;
    instant deadline;
    /// Latency objective: the answer loses value after it.
    instant objective = instant::max();
    fingerprint content;
    std::uint64_t prefix = 0; ///< hash of the prompt's prefix; 0: none
    std::uint32_t prompt_bytes = 0;
    std::uint32_t max_tokens = 16;
    bool repeatable = true;
    /// Only servers of this software may run the request; 0: all may.
    software_version software;
    std::size_t held_bytes = 0; ///< memory that the request uses in this router
};

/// Starts the request on this backend server.
struct grant
{
    ticket request;
    engine_id engine; ///< 0 for a plain service
    replica_id replica;
    std::string address;       ///< ip:port
    std::uint32_t attempt = 0; ///< 0 for the first attempt
};

/// Answers the caller with a refusal. The dispatcher drops the request.
struct refusal
{
    ticket request;
    refusal_reason reason = refusal_reason::none;
    verdict outcome = verdict::not_run;
    duration retry_after{};
};

/// Requests are waiting for a servable without enough ready replicas.
struct demand
{
    servable_id servable;
    priority urgency = priority::normal;
    std::uint32_t waiting = 0;
    instant earliest_deadline;
    /// Earliest objective of those that can still be met.
    instant earliest_objective = instant::max();
    std::string target; ///< name of the servable
    /// Only replicas on servers of this software are of use; 0: on any.
    software_version software;
};

/// A connection broke after a request was sent on it: the request may have
/// crashed the backend server.
struct crash_seen
{
    fingerprint request;
    engine_id engine;    ///< 0 for a plain service
    std::string address; ///< ip:port of that backend server
    ticket under{};      ///< the request; used by the dispatcher only
};

/// Result of examining a backend server after a connection to it broke.
enum class crash_finding : std::uint8_t
{
    crashed,  ///< it is down, or was replaced by another process
    survived, ///< the process that had the connection still runs
    unknown   ///< can't be determined
};

/// Identifies a backend server in the same way as `grant`.
struct server_place
{
    engine_id engine;    ///< 0 for a plain service
    std::string address; ///< ip:port
};

/// Asks for a permit to send one request to a server with a rate limit, or
/// whose places are counted. The answer is `permit_given` or `permit_refused`.
struct permit_wanted
{
    server_place server;
    bool waits = false; ///< a waiting request has no other server
    /// Changes the order of the permit that was requested before and has not
    /// been granted yet; no further permit is requested.
    bool reorders = false;
    /// Of the request that the permit is for.
    std::uint8_t rank = 0;
    /// The objective of that request; `max`: it can't meet it any more.
    instant objective = instant::max();
};

/// A request, or a permit that no request used, has given up its place at a
/// server whose places are counted.
struct place_released
{
    server_place server;
    bool rejected = false; ///< the server had no room for the request
};

/// No request waits any more for a place that was requested.
struct permit_cancelled
{
    server_place server;
};

using dispatch_command = std::variant<
    grant,
    refusal,
    demand,
    crash_seen,
    permit_wanted,
    place_released,
    permit_cancelled>;

/// How an attempt ended, as seen by the backend connection.
struct attempt_result
{
    enum class end : std::uint8_t
    {
        answered,        ///< the answer is complete
        refused_not_run, ///< the server reported that it did not run
        not_sent,        ///< no byte was sent: connect failed or timed out
        withheld,        ///< no byte was sent: the server takes no requests now
        broken,          ///< the connection broke after bytes were sent
        no_progress,     ///< a progress timer expired after bytes were sent
        stopped,         ///< stopped by a cancel, which may have been late
        caller_left      ///< the caller closed its connection
    };

    end how = end::answered;
    bool answer_started = false; ///< bytes were sent to the caller
    bool resumable = false; ///< another backend server can continue the answer
    /// Software that a server needs to continue the answer; 0: any.
    software_version software;
    bool no_room = false;     ///< refused since the server is full
    std::uint32_t tokens = 0; ///< tokens sent to the caller
    duration first_byte{};    ///< from sending the request to the first byte
    duration total{};         ///< from sending the request to the end
};

/// A backend server's report of its own load; may be out of date.
struct load_report
{
    engine_id engine;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// How long work takes on the server's host at this moment, in percent of
    /// the usual time; 0: not stated.
    std::uint32_t host_time_percent = 0;
};

/// A prompt prefix was added to an engine's cache or evicted from it.
struct cache_event
{
    std::uint64_t sequence = 0; ///< assigned by the engine, from 1
    std::uint64_t prefix = 0;   ///< as `request_info::prefix`
    bool cached = false;
};

/// Cache events of one engine, by sequence number; some may be missing.
struct cache_report
{
    engine_id engine;
    std::uint64_t incarnation = 0;
    std::uint64_t from = 0; ///< first number requested; 0: read from the start
    std::uint64_t next = 0; ///< first number of the next read
    std::vector<cache_event> events;
};

/// How requests with the same prompt prefix are sent to the same replica.
enum class prefix_affinity : std::uint8_t
{
    none,        ///< not at all: two random choices, by load
    rendezvous,  ///< the replica that the prefix hashes to
    cache_events ///< replicas that reported the prefix; else by hash
};

/** Decides when and on which backend server each request starts, and which
    requests are refused.

    Queues are bounded per target. Requests are ordered by strict priority with
    ageing, by earliest deadline within a class, and fairly between callers. The
    replica is the less loaded of two random choices. Retries are limited by a
    budget. A request is refused as soon as its deadline can't be met.

    A request that needs a certain software, or whose answer was begun by one,
    gets grants of servers of that software only. It is refused when none is
    left.

    These decisions are based on hints. One guarantee doesn't depend on them:
    every ticket gets exactly one final answer (a refusal, or `finished` without
    a new grant), and a request that isn't repeatable gets no second grant once
    an attempt may have reached a backend server.

    Not thread-safe: the owner serializes calls. Deterministic for a seed.
*/
class dispatcher
{
public:
    struct options
    {
        std::uint32_t max_queued_per_target = 1000;
        std::uint32_t max_queued = 4000;
        std::size_t max_held_bytes = std::size_t(512) << 20;
        std::uint32_t retry_budget_percent = 20;
        /// Maximum number of attempts that send nothing new to the caller. The
        /// count restarts when a resumable stream has delivered new tokens.
        std::uint32_t max_attempts = 3;
        /// A wait of this time raises a request by one class.
        duration ageing = std::chrono::seconds(30);
        duration demand_interval = std::chrono::milliseconds(50);
        prefix_affinity affinity = prefix_affinity::cache_events;
        /// Whether requests for servers whose places are counted are granted in
        /// the order of the objectives that can still be met. Under overload,
        /// the order of deadlines would serve each request too late.
        bool objectives_first = false;
        /// This router's; preferred while its servers have spare capacity.
        std::string data_centre;
        std::uint64_t seed = 1;
    };

    explicit dispatcher(options settings);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;

    /// A request arrived. The next commands may contain a refusal.
    ticket submit(request_info info, instant now);

    /// An attempt ended. Either the request is final, or a new grant or a
    /// refusal for the same ticket follows.
    /// @return Whether the request is final, and the verdict to report if
    ///         nothing was sent to the caller yet.
    struct finish
    {
        bool final_answer = true;
        verdict outcome = verdict::answered;
        refusal_reason reason = refusal_reason::none;
        /// Until a replica is expected to be ready; 0: unknown.
        duration retry_after{};
    };
    finish finished(ticket request, const attempt_result& result, instant now);

    /// Drops a request whose caller disconnected or whose claim was refused
    /// before the attempt was sent. Frees its granted slot.
    void abandon(ticket request, instant now);

    /** Starts a second attempt of a request beside the granted one.

        It runs on a server to which the request hasn't been sent, in a free
        slot, and only while no request waits for the target. A server with a
        rate limit or counted places isn't used. The attempt has a ticket of its
        own, which has to be passed to `finished` or `abandon` once, like that
        of the first attempt. The caller of this function ensures that at most
        one of the two tickets is continued.

        @param running Ticket of a granted request.
        @return The grant; empty: no second attempt, for one of these reasons or
                because the request isn't repeatable or is suspect.
    */
    std::optional<grant> hedge(ticket running, instant now);

    /** The backend server of a `crash_seen` was examined.

        A broken connection to a server that survived isn't counted as a crash
        caused by the request. A request with too many broken connections waits
        for the results. It continues once few enough of them count as crashes,
        and is refused if too many do after each was examined. Results for other
        requests are ignored.
    */
    void
    crash_examined(const crash_seen& what, crash_finding finding, instant now);

    /// A new routing table takes effect.
    void table_changed(routing_table_ptr table, instant now);

    /// A backend server reported its load.
    void load_reported(const load_report& report, instant now);

    /** The time that an engine takes was estimated.

        @param percent Of the mean time of the engines; 100 is the mean.
        @param until   After this the engine counts as 100 again.
    */
    void pace_estimated(engine_id engine, std::uint32_t percent, instant until);

    /** A backend server announced or removed a rate limit over all routers.

        While there is a limit, each request sent there needs a permit.

        @param per_second Requests per second; 0: no limit.
    */
    void
    server_limited(const server_place& server, double per_second, instant now);

    /** Sets whether the requests at a backend server are counted over all
        routers.

        Then each request that is sent there needs a permit, which is released
        with `place_released` at its end.
    */
    void server_counted(const server_place& server, bool counted, instant now);

    /// One request may be sent to a rate-limited server at `from` or later.
    void permit_given(const server_place& server, instant from, instant now);

    /// No permit is available. None is requested again before `retry_after`.
    void permit_refused(
        const server_place& server, duration retry_after, instant now);

    /// Withdraws a permit that no request has used.
    /// @return Whether there was one.
    bool permit_withdrawn(const server_place& server);

    /// An engine reported changes of its prefix cache.
    void cache_reported(const cache_report& report, instant now);

    /// Number of routers alive, including this one. A hint: each may use an
    /// equal share of a server's slots, whatever the others run there.
    void routers_alive(std::size_t count, instant now);

    /// While `leaving`, backend servers on this VM get no new requests. Where
    /// servers have no known VM, the routing table names each of them by its id
    /// instead.
    void vm_leaving(std::string_view vm, bool leaving, instant now);

    /** A backend server wants no requests of this router for some time.

        None is granted to it before the end; then one at first, and more as it
        takes them. Requests without another server wait, or are refused at once
        if they can't be served in time after the end. A longer pause holds.

        @param length 0: the pause ends, for example since the server restarted.
    */
    void
    server_paused(const server_place& server, duration length, instant now);

    /// A server that had asked for a pause rejected a request, or took one and
    /// has no others waiting.
    void
    server_took_request(const server_place& server, bool rejected, instant now);

    /// Asked before the first byte of a granted request is sent, since the
    /// server may have stated something after the grant.
    /// @param vm As in the routing table.
    /// @return Whether the server takes requests.
    bool takes_requests(
        const server_place& server, std::string_view vm, instant now) const;

    /// Shuts down: waiting requests are refused with reason `draining` and
    /// verdict `not_run`; granted requests continue.
    void drain(instant now);

    /// Advances time: refuses requests that can't meet their deadline, and
    /// sends demand again.
    void tick(instant now);

    /// @return The commands since the last call, in order.
    std::vector<dispatch_command> take_commands();

    /// @return The time at which `tick` has work next; empty if there is none.
    std::optional<instant> next_tick() const;

    std::size_t queued() const;
    std::size_t in_flight() const;

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace roseworks
