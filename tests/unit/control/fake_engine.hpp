#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/specs.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace roseworks::test
{

/// A model engine: loads, unloads, and reports late. Unlike a real one it takes
/// a load beyond its memory, so that the test sees an overcommitment.
class fake_engine
{
public:
    struct options
    {
        fencing_kind fencing = fencing_kind::checks;
        std::uint32_t memory_mib = 0;
        duration load_time = std::chrono::seconds(2);
        duration unload_time = std::chrono::milliseconds(500);
        duration report_lag = std::chrono::milliseconds(200);
        /// Lag of every third report.
        duration worst_lag = std::chrono::milliseconds(200);
    };

    explicit fake_engine(options settings);

    order_outcome order(const engine_order& what, instant now);
    /// The state as it was one lag ago.
    engine_report report(engine_id id, instant now);
    /// Let loads and unloads end.
    void advance(instant now);
    /// The process dies and comes back empty.
    void restart(instant now);
    void use(replica_id replica, instant now);
    void fail_loads(bool fail);

    std::uint32_t memory_used() const;
    std::size_t count(std::string_view servable) const;
    bool has(replica_id replica) const;
    std::uint64_t loads_begun() const;

private:
    struct item
    {
        resident seen;
        instant until{};
    };

    void remember(instant now);

    options settings;
    std::uint64_t incarnation = 1;
    std::uint64_t highest_fence = 0;
    std::uint64_t loads = 0;
    std::uint64_t reports = 0;
    bool failing = false;
    std::set<std::string> orders_seen;
    std::map<replica_id, item> items;
    std::deque<std::pair<instant, engine_report>> history;
};

} // namespace roseworks::test
