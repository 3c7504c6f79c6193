#pragma once

#include "tests/soak/call_record.hpp"
#include "tests/support/fleet.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

namespace roseworks::test
{

/// Replicas of a servable that were resident at one moment, over its limit.
struct replica_excess
{
    std::string servable;
    std::string residents; ///< `engine/replica` each
    steady_time seen;
};

/// What an engine's ledgers say, all its processes together.
struct engine_account
{
    std::map<std::string, std::uint64_t, std::less<>> runs; ///< by request id
    std::uint64_t rejected_memory = 0;
    std::uint64_t peak_memory = 0;
    /// Most replicas at once, by servable.
    std::map<std::string, std::uint64_t, std::less<>> resident_peak;
};

/** Collects the engines' ledgers, which go with their processes, and looks for
    moments with too many replicas.
*/
class ledger_watch
{
public:
    explicit ledger_watch(const fleet& nodes);

    /// An engine's process has ended: keep what was seen of its ledger.
    void engine_ended(std::size_t engine);
    /// It is started again.
    void engine_back(std::size_t engine);
    /// Whether the engine's reports may be old now.
    void reports_lag(std::size_t engine, bool lagging);

    /// Read all ledgers once more and look no longer.
    void finish();

    const std::vector<engine_account>& accounts() const;
    const std::vector<replica_excess>& excesses() const;
    /// From the last ledger that was read until the engine was back.
    const std::vector<outage>& unseen() const;
    /// How often all engines' residents were compared.
    std::uint64_t samples() const;

private:
    /// Replica by id, with its servable.
    using residents = std::map<std::uint64_t, std::string>;

    struct engine_view
    {
        std::string address;
        std::mutex mutex; ///< of all below
        boost::json::object ledger;
        steady_time ledger_read;
        steady_time lost_since;
        bool lagging = false;
        std::uint64_t changes = 0; ///< ends and changes of the lag
    };

    void watch(const std::stop_token& stopped);
    void read_ledgers();
    void read_ledger(engine_view& view);
    void fold(std::size_t engine);
    void compare_residents();
    residents read_residents(engine_view& view) const;
    /// Empty while its reports lag.
    std::vector<std::uint64_t> changes();

    std::vector<std::unique_ptr<engine_view>> views;
    std::vector<engine_account> all_accounts;
    std::vector<replica_excess> all_excesses;
    std::vector<outage> unseen_spans;
    std::uint64_t sample_count = 0;
    std::jthread thread;
};

} // namespace roseworks::test
