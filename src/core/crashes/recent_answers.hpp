#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace roseworks
{

/// Remembers which requests, or parts of prompts, were last answered well. One
/// may displace another, so memory is bounded.
class recent_answers
{
public:
    /// @param slots  Number of places; the hash selects one.
    /// @param memory How long an answer is remembered.
    recent_answers(std::size_t slots, duration memory)
        : places(std::max<std::size_t>(slots, 1))
        , memory_length(memory)
    {
    }

    void add(fingerprint subject, instant now)
    {
        this->places[this->index_of(subject)] = {subject, now};
    }

    bool contains(fingerprint subject, instant now) const
    {
        const place& last = this->places[this->index_of(subject)];
        return last.subject == subject &&
               now - last.when <= this->memory_length;
    }

private:
    struct place
    {
        fingerprint subject;
        instant when;
    };

    std::size_t index_of(fingerprint subject) const
    {
        return static_cast<std::size_t>(subject.value % this->places.size());
    }

    std::vector<place> places;
    duration memory_length;
};

} // namespace roseworks
