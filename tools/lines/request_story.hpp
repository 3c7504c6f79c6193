#pragma once

#include "tools/lines/request_loss.hpp"

#include <cstdint>
#include <deque>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::tools
{

/** What happened to one request, in order of time: its own lines, the orders
   for its model, who owned placement then, and what became of its servers.

    Takes the lines twice: the first time to learn which model and servers the
    request is about.
*/
class request_story
{
public:
    explicit request_story(std::string request_id);

    /// First reading.
    void learn(const log_line& line);

    /// Second reading, in any order of lines.
    void take(const log_line& line);

    /// @return Whether any line is about the request.
    bool found() const
    {
        return !this->ends.empty();
    }

    /// Prints the story and its cause, as `losses` counts it.
    void print(std::ostream& out) const;

private:
    struct event
    {
        std::int64_t at_ms = 0;
        std::string words;
    };

    bool is_about(const log_line& line) const;
    std::int64_t from_ms() const;
    std::int64_t to_ms() const;

    std::string id;
    std::vector<log_line> ends; ///< of the request
    std::vector<event> events;
    event owner; ///< the last take-over before the request came
    fleet_context fleet;
};

} // namespace roseworks::tools
