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

/** The platform's store over its published calls: keyed topics with numbered
    appends, and a group whose first member holds the one partition. */
class fake_store
{
public:
    fake_store();

    std::string address() const
    {
        return this->server.address();
    }

    /// The next so many appends are done, and their answers lost.
    void lose_answers(int count);

    /// Sets a record as if it had been written before.
    void put(const std::string& key, const std::string& value);

    /// Another run of a writer with this number has appended.
    void seen_run(const std::string& writer, std::uint64_t run);

    /// @return Reads of a topic so far.
    int reads() const
    {
        return this->reads_seen;
    }

    /// From now on reads are answered, with no record; before, all are refused.
    void answer_reads();

    /// So many more joins of the group are answered, all later ones refused.
    void answer_joins(int count);

    std::string value_of(const std::string& key);

    /// @return What was done, in order: `append VALUE`, `repeat` (of an append
    ///         that was done already), `fenced`, and `join`.
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
    std::map<std::string, std::string> records; ///< of the one topic
    std::map<std::string, writer_state> writers;
    std::vector<std::string> events;
    int answers_lost = 0;
    int joins_answered = std::numeric_limits<int>::max();
    std::atomic<int> reads_seen{0};
    std::atomic<bool> reads_answered{false};
    edge::tests::fake_backend server; ///< last: its threads use the others
};

} // namespace roseworks::users_platform::tests
