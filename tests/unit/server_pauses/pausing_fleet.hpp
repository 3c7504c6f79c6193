#pragma once

#include "modelled_server.hpp"
#include "router_fleet.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace roseworks::testing
{

/** A fleet whose engines can reject requests and ask for a pause, and can say
    that they leave. Judges the routers by what reaches the engines.
*/
class pausing_fleet final : public router_fleet
{
public:
    struct options : router_fleet::options
    {
        duration pause = 3s; ///< that a rejecting engine asks for
        /// Shortest time of a run; the longest is twice that.
        duration shortest_run = 40ms;
    };

    explicit pausing_fleet(const options& settings);

    /// An engine rejects a share of its requests for a time from now on.
    void reject(std::size_t engine, duration length, double rejected_share = 1);

    /// From now on all answers of an engine say that it leaves.
    void leave(std::size_t engine);

    /// Restarts a router. What it was told before doesn't count any more.
    void kill(std::size_t router);

    /// Freezes a router for a time. What it was told until the end doesn't
    /// count any more.
    void suspend(std::size_t router, duration length);

    /// @return Requests a second that the engines can run.
    double capacity() const;

    /// @return The most requests that reached an engine from one router between
    ///         half a second after the engine asked it for a pause and the end
    ///         of the pause.
    std::size_t most_in_pause() const
    {
        return this->worst_pause;
    }

    /// @return Requests that reached an engine from a router later than
    ///         `leaving_bound` after that router was told that it leaves.
    std::size_t after_leaving() const
    {
        return this->late_arrivals;
    }

    /// @return The most requests that an engine had at a time, since the last
    ///         call.
    std::size_t take_peak();

    /// @return The longest time after which a request was refused that couldn't
    ///         wait for the end of all pauses.
    duration longest_hopeless_wait() const
    {
        return this->hopeless_wait;
    }

    instant time() const
    {
        return this->now();
    }

    static constexpr duration leaving_bound = 2s;

private:
    using route_key = std::pair<std::size_t, std::size_t>; ///< router, engine

    /// A request that was sent to an engine.
    struct sent_request
    {
        std::size_t router;
        std::uint64_t run; ///< of the router
        grant granted;
        instant sent;
    };

    struct pause_record
    {
        instant answered;
        instant from;  ///< half a second after the answer
        instant until; ///< end of the pause
        std::size_t arrivals = 0;
    };

    struct engine
    {
        std::unique_ptr<modelled_server> server;
        instant rejects_until;
        double rejected_share = 0;
        bool leaving = false;
    };

    void request_submitted(std::size_t number, ticket id) override;
    void request_refused(std::size_t number, const refusal& refused) override;
    void run_request(std::size_t number, const grant& granted) override;
    void arrive(const sent_request& request);
    void record_arrival(std::size_t number, std::size_t engine);
    bool is_rejected(const engine& one);
    void respond(const sent_request& request, modelled_server::result result);
    void
    receive_response(const sent_request& request, const server_notice& notice);
    /// @return Whether the router that sent it has restarted since.
    bool is_orphaned(const sent_request& request) const;
    bool is_excused(std::size_t router, instant told) const;
    duration one_way();
    /// @return When the first engine takes requests of a router again.
    instant end_of_pauses(std::size_t number) const;

    options settings;
    std::vector<engine> engines;
    std::map<route_key, std::vector<pause_record>> pauses;
    std::map<route_key, instant> told_leaving;    ///< when a router was told
    std::map<std::size_t, instant> excused_until; ///< by router
    std::map<std::pair<std::size_t, std::uint64_t>, instant> submitted;
    std::size_t worst_pause = 0;
    std::size_t late_arrivals = 0;
    std::size_t peak = 0;
    duration hopeless_wait{};
};

} // namespace roseworks::testing
