#pragma once

#include "tools/lines/request_loss.hpp"

#include <boost/json/object.hpp>

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <utility>

namespace roseworks::tools
{

/** Counts lost requests by route, window of time, kind and cause.

    Requests that were served are sampled in the logs under load: their count is
    of lines, not of requests. What was lost is always written, but for lines
    that were left out, which are counted apart.
*/
class loss_table
{
public:
    struct options
    {
        std::int64_t window_ms = 10'000; ///< above 0
        /// What an answer in time is worth, by route; nothing for others.
        std::map<std::string, double, std::less<>> worth;
    };

    explicit loss_table(options settings);

    /// Counts a line: a request's end, or lines that were left out.
    void take(const log_line& line, const fleet_context& fleet);

    void unreadable_line()
    {
        ++this->unreadable;
    }

    void print(std::ostream& out) const;
    boost::json::object to_json() const;

private:
    struct place
    {
        std::string route;
        std::int64_t window = 0;

        auto operator<=>(const place&) const = default;
    };

    using counts = std::array<std::uint64_t, loss_kinds * loss_causes>;

    counts sum_of_route(const std::string& route) const;
    double worth_of(const std::string& route) const;

    options settings;
    std::map<place, counts> lost;
    std::map<std::string, std::uint64_t> in_time; ///< lines, by route
    std::uint64_t unreadable = 0;
    std::uint64_t left_out = 0;
    std::int64_t first_ms = 0; ///< of all requests; 0 before the first
};

} // namespace roseworks::tools
