#pragma once

#include "tests/soak/answer_check.hpp"
#include "tests/soak/call_record.hpp"
#include "tests/soak/ledger_watch.hpp"
#include "tests/soak/storm.hpp"
#include "tests/support/fleet.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::test
{

/// A promise that did not hold.
struct broken_promise
{
    std::string promise;
    std::string subject;    ///< request id, key, engine or servable
    std::int64_t at_ms = 0; ///< since the run's start
    std::string detail;
};

/** Judges a run by what callers got and by the stand-ins' ledgers alone.

    Runs that an engine's ledger took with it are missing, so that a count is
    a lower bound: what it shows broken is broken. Calls that may have been at
    an engine whose ledger is lost are counted as unseen.
*/
class judge
{
public:
    judge(
        std::vector<call_record> calls,
        const fleet& nodes,
        const ledger_watch& watch,
        const storm& faults,
        steady_time start);

    /// Check every promise; call it once.
    void run();

    const std::vector<broken_promise>& broken() const;
    /// Error statuses that were passed on as a backend server's own answer.
    const std::vector<std::string>& error_answers() const;
    /// Figures by name, with their unit.
    const std::map<std::string, std::string>& figures() const;

private:
    void read_service();
    void check_call(const call_record& call);
    void check_ended(const call_record& call, call_outcome outcome);
    void check_not_run(const call_record& call);
    void check_answered(const call_record& call);
    void note_error_answer(const call_record& call);
    void note_lateness(const call_record& call);
    void check_keys();
    void check_engines();
    void check_replicas();
    std::uint64_t runs_of(const call_record& call) const;
    bool unseen(const call_record& call) const;
    /// Whether its router was killed meanwhile.
    bool killed(const call_record& call) const;
    /// Whether its router was asked to end before it had the request.
    bool came_after_shutdown(const call_record& call) const;
    bool paused(const call_record& call) const;
    void report(
        std::string promise,
        std::string subject,
        steady_time at,
        std::string detail);
    void figure(const std::string& name, std::uint64_t value, const char* unit);

    std::vector<call_record> calls;
    const fleet& nodes;
    const ledger_watch& watch;
    const storm& faults;
    steady_time start;
    std::map<std::string, std::uint64_t, std::less<>> service_runs;
    std::map<std::string, std::uint64_t, std::less<>> service_key_runs;
    std::map<std::string, std::uint64_t> key_runs; ///< on engines
    std::map<std::string, steady_time> key_begin;
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t unseen_calls = 0;
    std::int64_t latest_ms = 0;
    std::int64_t latest_paused_ms = 0;
    std::vector<broken_promise> found;
    std::vector<std::string> errors;
    std::map<std::string, std::string> numbers;
};

} // namespace roseworks::test
