#pragma once

#include "core/admission/admission_queue.hpp"
#include "core/admission/wait_estimator.hpp"
#include "core/request/circuit_breaker.hpp"
#include "core/request/retry_budget.hpp"
#include "core/routing/balancer.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace roseworks::detail
{

/// Prompts above this size are long. While short ones wait, long prompts may
/// occupy at most half of the slots.
inline constexpr std::uint32_t long_prompt_bytes = 8 * 1024;

/// Limits of the retries of one model, adapter or plain service.
struct retry_budgets
{
    explicit retry_budgets(std::uint32_t retry_percent)
        : retries(retry_percent)
        , resumes(retry_budget::make_full(retry_percent))
    {
    }

    retry_budget retries;
    retry_budget resumes; ///< of streams
};

/** Dispatcher state of one model, adapter or plain service: its queue, its
    backend servers from the routing table, and its measured timings.

    Requests that need a certain software have a target of their own, with the
    servers of that software only.

    Advisory: an error here cannot break a guarantee. */
class target
{
public:
    using leaving_vms = std::set<std::string, std::less<>>;

    /// @param number   Position in the order of first use.
    /// @param software Of the servers that may be used; 0: all may.
    /// @param budgets  Shared by all targets of one name.
    target(
        std::uint32_t number,
        std::string name,
        software_version software,
        bool is_service,
        duration ageing,
        std::shared_ptr<retry_budgets> budgets);

    /** Applies the target's entry in a new routing table. Counters are kept.

        @return Whether the table contains the target.
    */
    bool refresh(const routing_table& table, const leaving_vms& leaving);

    /// Sets `backend::leaving` according to the set of leaving VMs.
    void mark_leaving(const leaving_vms& leaving);

    /// @return The backend that a grant named; null if it was removed since.
    backend* find(replica_id replica, std::string_view address);

    /// Removes backends that are not in the table and run no requests.
    void drop_unlisted();

    /// @return Number of requests that can run at once on the given backends.
    ///         Rate-limited backends are not counted.
    /// @param  batch Whether the slots are for batch requests, which leave one
    ///         slot free.
    std::size_t slots(
        std::span<std::size_t const> usable,
        bool batch,
        const server_loads& loads,
        instant now) const;

    /// @return Number of waiting requests, including suspect ones.
    std::size_t waiting() const
    {
        return this->queue.size() + this->suspects.size();
    }

    bool idle() const
    {
        return this->waiting() == 0 && this->in_flight == 0;
    }

    std::uint32_t number;
    std::string name;
    software_version software;
    bool is_service;
    servable_id servable;
    std::uint16_t max_streams = 1;
    std::uint16_t max_replicas = 0;
    bool granted = false; ///< may be loaded while the log is unavailable
    duration load_estimate{};
    /// When a target without replicas is expected to be ready; empty: unknown.
    std::optional<instant> expected_ready;
    std::uint64_t generation = 0; ///< of the table last applied
    bool in_table = false;        ///< the table contains it

    admission_queue queue;
    /// Suspect requests that wait to run alone on a server, oldest first.
    std::vector<ticket> suspects;
    std::vector<backend> backends;
    wait_estimator estimator;
    std::shared_ptr<retry_budgets> budgets;
    circuit_breaker breaker;
    std::uint32_t in_flight = 0;
    std::uint32_t long_in_flight = 0;
    std::uint32_t suspects_running = 0;

    /// When the pending cold start was first requested; empty: none is pending.
    std::optional<instant> cold_since;
    std::optional<instant> last_demand; ///< last sent to the control thread
    instant last_used;

private:
    void apply(const servable_routes& entry, const routing_table& table);
    void apply(const service_routes& entry, const routing_table& table);
    /// @return Whether the server at an address has the software.
    bool may_use(const routing_table& table, const std::string& address) const;
    void list_backend(route listed_route, server_key server);
};

} // namespace roseworks::detail
