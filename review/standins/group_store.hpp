// The platform's store as far as a gateway calls it, with groups as the pages
// have them: the generation rises with each change, and a partition goes to
// another member only when its holder has left, has joined with the newest
// generation, or was silent for `ttl_ms`.
#pragma once

#include "review/standins/harness.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

class group_store
{
public:
    explicit group_store(record& log);

    std::string address() const;
    void write(
        const std::string& topic,
        const std::string& key,
        const std::string& value);
    /// @return The member that holds the partition; empty: none.
    std::string holder();

private:
    using steady = std::chrono::steady_clock;

    struct entry
    {
        std::string key;
        std::string value;
    };

    struct member
    {
        steady::time_point until;
        std::uint64_t generation = 0; ///< that it has named
    };

    bool answer(connection& caller, const message& request);
    std::string reply(const std::string& target, const std::string& body);
    std::string list(const std::string& target);
    std::string read(const std::string& target);
    std::string append(const std::string& target, const std::string& body);
    std::string join(const std::string& body);
    std::string leave(const std::string& body);
    void remove(const std::string& name);
    void expire();

    record& log;
    std::mutex mutex;
    std::condition_variable written;
    std::map<std::string, std::vector<entry>> topics;
    std::map<std::string, member> members;
    std::string holding;
    std::string topic_of_group;
    std::uint64_t generation = 0;
    server listener;
};

} // namespace review
