#pragma once

#include "fake_backend.hpp"

#include <atomic>
#include <cstdint>
#include <limits>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::users_platform::tests
{

/** Fake of the platform's store with its HTTP interface: one keyed topic with
    numbered appends, and a group that assigns its one partition to every
    member that joins. */
class fake_store
{
public:
    fake_store();

    std::string address() const
    {
        return this->server.address();
    }

    /// Applies the next `count` appends, but drops their answers.
    void drop_answers(int count);

    /// Sets a record as if it had been appended before the test.
    void put(const std::string& key, const std::string& value);

    /// Acts as if a run of the writer with this number had appended.
    void set_writer_run(const std::string& writer, std::uint64_t run);

    /// @return The number of reads so far, without listings.
    int reads() const
    {
        return this->reads_seen;
    }

    /// Answers reads from now on, with no records. Until this call, all reads
    /// are refused.
    void answer_reads();

    /// Answers the next `count` joins of the group and refuses all later ones.
    void answer_joins(int count);

    std::string value_of(const std::string& key);

    /// @return The calls in order: `append VALUE`, `repeat` (an append that had
    ///         been applied already), `fenced` and `join`.
    std::vector<std::string> history();

private:
    struct writer_state
    {
        std::uint64_t run = 0;
        std::uint64_t next = 0;
    };

    void serve(edge::tests::backend_peer& peer);
    std::string answer(const std::string& request);
    std::string append(const std::string& request);
    std::string listing();
    std::string membership();

    std::mutex mutex;
    std::map<std::string, std::string> records; ///< by key
    std::map<std::string, writer_state> writers;
    std::vector<std::string> events;
    int answers_to_drop = 0;
    int joins_to_answer = std::numeric_limits<int>::max();
    std::atomic<int> reads_seen{0};
    std::atomic<bool> reads_answered{false};
    edge::tests::fake_backend server; ///< last: its threads use the others
};

} // namespace roseworks::users_platform::tests
