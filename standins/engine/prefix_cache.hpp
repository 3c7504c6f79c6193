#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>

namespace roseworks::standins
{

/// How many characters of a prompt make its prefix.
constexpr std::size_t prefix_chars = 256;

/// The name of a prompt's prefix in cache events: 16 hex digits of the XXH64
/// (seed 0) of the model's name, a line feed and the prompt's first 256 bytes.
std::string hash_prefix(std::string_view model, std::string_view prompt);

/// The prefixes that an engine holds in memory, least recently used out
/// first, and the events that tell of it.
class prefix_cache
{
public:
    using clock = std::chrono::steady_clock;

    explicit prefix_cache(std::size_t limit);

    /// Uses a prefix, and puts it in when it is not there.
    ///
    /// @return True when it was there.
    bool touch(std::string_view model, std::string_view prompt);

    /// Drops all prefixes of a model that is no longer resident.
    void forget(std::string_view model);

    /// Leaves this many of the next events out, as a gap in the numbers.
    void drop_events(std::uint64_t count);

    /// The answer of `GET /v1/engine/events`.
    ///
    /// @param from the first sequence number wanted.
    /// @param lag  events younger than this are not shown yet.
    [[nodiscard]] boost::json::object
    events(std::uint64_t from, std::chrono::milliseconds lag) const;

private:
    struct entry
    {
        std::string model;
        std::string prefix;
    };

    struct event
    {
        std::uint64_t sequence;
        clock::time_point since;
        std::string prefix;
        bool cached;
    };

    void publish(const std::string& prefix, bool cached);

    std::size_t capacity;
    std::list<entry> entries; ///< most recently used first
    std::deque<event> published;
    std::uint64_t next_sequence = 1;
    std::uint64_t to_drop = 0;
};

} // namespace roseworks::standins
