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

/// A request's place in the dispatcher; unique within a router's run.
using ticket = strong_id<struct ticket_tag, std::uint64_t>;

/// What admission needs to know of a request.
struct request_info
{
    std::string target; ///< servable's or service's name
    bool is_service = false;
    std::string caller = "anonymous";
    priority asked = priority::normal; ///< capped by the caller's class
    instant deadline;
    instant objective = instant::max(); ///< an answer is worth most before it
    fingerprint content;
    std::uint64_t prefix = 0; ///< hash of the prompt's head; 0: none
    std::uint32_t prompt_bytes = 0;
    std::uint32_t max_tokens = 16;
    bool repeatable = true;
    std::size_t held_bytes = 0; ///< memory the request holds here
};

/// Start the request on this backend server.
struct grant
{
    ticket request;
    engine_id engine; ///< 0 for a plain service
    replica_id replica;
    std::string address;       ///< ip:port
    std::uint32_t attempt = 0; ///< 0 for the first
};

/// Answer the caller with a refusal; the request is forgotten.
struct refusal
{
    ticket request;
    refusal_reason reason = refusal_reason::none;
    verdict outcome = verdict::not_run;
    duration retry_after{};
};

/// A servable without enough ready replicas has requests waiting.
struct demand
{
    servable_id servable;
    priority urgency = priority::normal;
    std::uint32_t waiting = 0;
    instant earliest_deadline;
    instant earliest_objective = instant::max(); ///< that can still be met
    std::string target;                          ///< its name
};

/// A connection broke under a request that had been sent: its backend server
/// may have died of it.
struct crash_seen
{
    fingerprint request;
    engine_id engine;    ///< 0 for a plain service
    std::string address; ///< ip:port that the request was sent to
    ticket under{};      ///< the dispatcher's own mark of the request
};

/// What a look at a backend server showed after a connection to it broke.
enum class crash_finding : std::uint8_t
{
    crashed,  ///< it is down, or another process runs in its place
    survived, ///< the process that had the connection still runs
    unknown   ///< it can't be told
};

/// A backend server as grants name it.
struct server_place
{
    engine_id engine;    ///< 0 for a plain service
    std::string address; ///< ip:port
};

/// A permit to send one request to a server that named a rate limit is needed;
/// `permit_given` or `permit_refused` follows.
struct permit_wanted
{
    server_place server;
    bool waits = false; ///< a request has no other server to go to
};

using dispatch_command =
    std::variant<grant, refusal, demand, crash_seen, permit_wanted>;

/// How an attempt ended, as the backend leg saw it.
struct attempt_result
{
    enum class end : std::uint8_t
    {
        answered,        ///< the whole answer came
        refused_not_run, ///< the server said that it did not run
        not_sent,        ///< no byte left: connect failed or timed out
        broken,          ///< connection broke after bytes were sent
        no_progress,     ///< a progress timer ran out after bytes were sent
        stopped,         ///< a cancel, perhaps a late one, stopped the run
        caller_left      ///< the caller closed its connection
    };

    end how = end::answered;
    bool answer_started = false; ///< bytes were passed to the caller
    bool resumable = false;      ///< what was passed can be continued elsewhere
    std::uint32_t tokens = 0;    ///< tokens delivered
    duration first_byte{};       ///< from sending to the first byte
    duration total{};            ///< from sending to the end
};

/// A backend server's own report of its load; lags.
struct load_report
{
    engine_id engine;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// A prompt prefix came into an engine's cache, or left it.
struct cache_event
{
    std::uint64_t sequence = 0; ///< numbered by the engine, from 1
    std::uint64_t prefix = 0;   ///< as `request_info::prefix`
    bool cached = false;
};

/// Cache events of one engine, by number; some may be missing.
struct cache_report
{
    engine_id engine;
    std::uint64_t incarnation = 0;
    std::uint64_t from = 0; ///< first number asked for; 0: read anew
    std::uint64_t next = 0; ///< first number of the next read
    std::vector<cache_event> events;
};

/// What draws requests with the same prompt prefix to the same replica.
enum class prefix_affinity : std::uint8_t
{
    none,        ///< two choices by load only
    rendezvous,  ///< the replica that the prefix hashes to
    cache_events ///< replicas that reported the prefix; else by hash
};

/** Decides which request starts where and when, and which is refused.

    Bounded queues per target; strict priority with ageing, earliest deadline
    first inside a class, fair between callers; two choices by load for the
    replica; retries within a budget; refusal as soon as a deadline can't be
    met. Hints only, apart from one promise that rests on no hint: every ticket
    gets exactly one final answer (a refusal, or `finished` without a new
    grant), and a request that isn't repeatable gets no second grant once an
    attempt may have reached a backend server.

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
        /// Without anything new for the caller: a stream that went on is
        /// given as many again.
        std::uint32_t max_attempts = 3;
        duration ageing = std::chrono::seconds(30); ///< wait worth one class
        duration demand_interval = std::chrono::milliseconds(50);
        prefix_affinity affinity = prefix_affinity::cache_events;
        std::string data_centre; ///< own, preferred while not loaded
        std::uint64_t seed = 1;
    };

    explicit dispatcher(options settings);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;

    /// A request has arrived. A refusal may be among the next commands.
    ticket submit(request_info info, instant now);

    /// An attempt has ended. Either the request is final, or a new grant or a
    /// refusal for the same ticket follows.
    /// @return Whether the request is final, with its verdict to be told when
    ///         nothing was passed to the caller yet.
    struct finish
    {
        bool final_answer = true;
        verdict outcome = verdict::answered;
        refusal_reason reason = refusal_reason::none;
        duration retry_after{}; ///< when a replica is expected back; 0: unknown
    };
    finish finished(ticket request, const attempt_result& result, instant now);

    /// The caller left, or a claim was refused, before the attempt was sent:
    /// forgets the request. A granted slot becomes free.
    void abandon(ticket request, instant now);

    /** The backend server named by a `crash_seen` was looked at.

        Connections that broke to a server that survived aren't crashes of the
        request. One with too many broken connections isn't granted before this
        was told of each: then it goes on, or is refused. Others' are ignored.
    */
    void
    crash_examined(const crash_seen& what, crash_finding finding, instant now);

    /// A new table is in force.
    void table_changed(routing_table_ptr table, instant now);

    /// A backend server reported its load.
    void load_reported(const load_report& report, instant now);

    /** A backend server named a rate limit, over all routers, or names none.

        From now on each request sent there takes a permit.

        @param per_second Requests; 0: no limit.
    */
    void
    server_limited(const server_place& server, double per_second, instant now);

    /// One request may be sent to a limited server from an instant on.
    void permit_given(const server_place& server, instant from, instant now);

    /// None may for now; it isn't asked for again before.
    void permit_refused(
        const server_place& server, duration retry_after, instant now);

    /// Takes a permit back that nothing was sent under.
    /// @return Whether there was one.
    bool permit_withdrawn(const server_place& server);

    /// An engine reported what its prefix cache holds.
    void cache_reported(const cache_report& report, instant now);

    /// So many routers are alive, this one included. A hint: each may take its
    /// equal share of a server's slots whatever others run there.
    void routers_alive(std::size_t count, instant now);

    /// Backend servers on this VM get no new work from now on.
    void vm_leaving(std::string_view vm, bool leaving, instant now);

    /// This router shuts down: waiting requests are refused as not run once
    /// `draining`; those granted go on.
    void drain(instant now);

    /// Time passes: refuses what can't be met, sends demand again.
    void tick(instant now);

    /// Commands since the last call, in order.
    std::vector<dispatch_command> take_commands();

    /// @return When `tick` has work next; empty when nothing waits.
    std::optional<instant> next_tick() const;

    std::size_t queued() const;
    std::size_t in_flight() const;

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace roseworks
