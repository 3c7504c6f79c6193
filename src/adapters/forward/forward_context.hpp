#pragma once

#include "adapters/edge/backend_context.hpp"
#include "adapters/forward/forward_metrics.hpp"
#include "adapters/forward/header_dialect.hpp"
#include "core/request/shared_retry_budget.hpp"
#include "core/serving/serving_table.hpp"
#include "ports/dispatch_port.hpp"
#include "ports/quota_port.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace roseworks::forward
{

/// Limits of forwarding beside those of its connections.
struct forward_options
{
    /// Answers up to this size are read whole before a byte is passed on, so
    /// that a broken one can be told from a whole one in time.
    std::size_t collect_bytes = std::size_t(256) << 10;
    /// Largest event of a stream that is cut into whole events.
    std::size_t max_event_bytes = std::size_t(256) << 10;
    /// Taken off a deadline for the answer's way to the caller.
    std::chrono::milliseconds answer_margin{20};
    /// A request without a deadline and without a route's limit.
    std::chrono::milliseconds default_deadline{60'000};
    /// After an engine refused a request: for the table without it.
    std::chrono::milliseconds refused_pause{5};
    /// Part of a request's objective that it may wait to be within its
    /// organisation's limit.
    int wait_for_limit = 4;
    /// Retry-After while no configuration is known, or a newer one is there.
    std::chrono::milliseconds start_retry{500};
    /// Retry-After of a request that crashes servers: as long as the block.
    std::chrono::milliseconds blocked_retry{60'000};
    shared_retry_budget::options retries;
    std::uint64_t seed = 1; ///< of the choice among split services
};

/// What forwarding works with; all of it has to outlive the event loop.
struct forward_dependencies
{
    dispatch_port& dispatch;
    quota_port& limits;
    std::function<serving_table_ptr()> table; ///< newest; null: none yet
    std::function<std::size_t()> routers;     ///< alive, this one included
    /// An engine told its load with an answer.
    std::function<void(const load_report&)> load_told;
    /// A request for a servable was sent to an engine, or has ended there.
    std::function<void(const std::string& servable, const std::string& engine)>
        run_started;
    std::function<void(const std::string& servable, const std::string& engine)>
        run_ended;
    /// An engine didn't run a request for a servable that it was to hold.
    std::function<void(const std::string& servable, const std::string& engine)>
        run_refused;
    /// No connection to a server could be opened.
    std::function<void(const std::string& server)> unreached;
    /// A connection broke under a request that a server had begun.
    std::function<void(const std::string& server, fingerprint)> broken;
    /// An answer of a server came: the requests a second that it takes from
    /// all routers together, empty when it named no limit, and when its
    /// request was sent.
    std::function<void(
        const std::string& server, std::optional<double> named, instant sent)>
        answered;
    /// Whether other routers have a newer configuration than the table's: what
    /// isn't found in it may be there.
    std::function<bool()> is_behind;
};

/// Shared by all connections of one traffic thread; belongs to it.
struct forward_context : edge::backend_context
{
    forward_context(
        const edge::backend_context& surroundings,
        forward_options chosen,
        header_dialect dialect,
        forward_dependencies dependencies,
        forward_metrics& counts)
        : edge::backend_context(surroundings)
        , settings(chosen)
        , names(std::move(dialect))
        , ports(std::move(dependencies))
        , metrics(counts)
        , random(chosen.seed)
    {
    }

    shared_retry_budget& retries_of(const std::string& service)
    {
        return this->budgets
            .try_emplace(service, shared_retry_budget(this->settings.retries))
            .first->second;
    }

    const forward_options settings;
    const header_dialect names;
    const forward_dependencies ports;
    forward_metrics& metrics;
    std::mt19937_64 random;
    bool draining = false;

private:
    std::unordered_map<std::string, shared_retry_budget> budgets;
};

} // namespace roseworks::forward
