#pragma once

#include "core/admission/admission_queue.hpp"
#include "core/admission/wait_estimator.hpp"
#include "core/request/circuit_breaker.hpp"
#include "core/request/retry_budget.hpp"
#include "core/routing/balancer.hpp"

#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace roseworks::detail
{

/// Prompts above this are long: they may not take every slot.
inline constexpr std::uint32_t long_prompt_bytes = 8 * 1024;

/** What the dispatcher keeps of one model, adapter or plain service: its
    queue, its backend servers as the table lists them, and what was learnt of
    it. Hint. */
class target
{
public:
    using leaving_vms = std::set<std::string, std::less<>>;

    /// @param number Its place in the order of first use.
    target(
        std::uint32_t number,
        std::string name,
        bool is_service,
        duration ageing,
        std::uint32_t retry_percent);

    /** Take the entry of a new table over, counters kept.

        @return Whether the table has the target.
    */
    bool refresh(const routing_table& table, const leaving_vms& leaving);

    /// Marks the backends on leaving VMs.
    void mark_leaving(const leaving_vms& leaving);

    /// @return The backend a grant named, null when it is forgotten.
    backend* find(replica_id replica, std::string_view address);

    /// Forgets backends that left the table and run nothing.
    void drop_unlisted();

    /// @return Requests of a class that run at once on these backends, those
    ///         left out that named a rate limit.
    std::size_t slots(
        std::span<std::size_t const> usable,
        bool batch,
        const server_loads& loads,
        instant now) const;

    /// @return Requests that wait, suspect ones included.
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
    bool is_service;
    servable_id servable;
    std::uint16_t max_streams = 1;
    std::uint16_t max_replicas = 0;
    bool granted = false; ///< may be loaded while the log is away
    duration load_estimate{};
    /// Nowhere yet, it can be ready then; empty: not known.
    std::optional<instant> expected_ready;
    std::uint64_t generation = 0; ///< of the table it was refreshed from
    bool known = false;           ///< the table has it

    admission_queue queue;
    std::vector<ticket> suspects; ///< waiting to run alone, oldest first
    std::vector<backend> backends;
    wait_estimator estimator;
    retry_budget budget;
    retry_budget resume_budget; ///< of streams that are continued
    circuit_breaker breaker;
    std::uint32_t in_flight = 0;
    std::uint32_t long_in_flight = 0;
    std::uint32_t suspects_running = 0;

    std::optional<instant> cold_since;  ///< first asked for, not ready yet
    std::optional<instant> last_demand; ///< sent to the control thread
    instant last_used;

private:
    void take(const servable_routes& entry);
    void take(const service_routes& entry);
    void list(route where, server_key server);
};

} // namespace roseworks::detail
