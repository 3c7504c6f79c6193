#include "tools/lines/loss_table.hpp"

#include <boost/json/array.hpp>

#include <algorithm>
#include <cassert>
#include <iomanip>
#include <ostream>
#include <set>
#include <utility>

namespace roseworks::tools
{

namespace json = boost::json;

namespace
{

std::size_t index_of(const request_loss& loss)
{
    return static_cast<std::size_t>(loss.kind) * loss_causes +
           static_cast<std::size_t>(loss.cause);
}

loss_kind kind_at(std::size_t index)
{
    return static_cast<loss_kind>(index / loss_causes);
}

loss_cause cause_at(std::size_t index)
{
    return static_cast<loss_cause>(index % loss_causes);
}

} // namespace

loss_table::loss_table(options chosen)
    : settings(std::move(chosen))
{
    assert(this->settings.window_ms > 0);
}

void loss_table::take(const log_line& line, const fleet_context& fleet)
{
    if (line.name == "lines_left_out")
        this->left_out += static_cast<std::uint64_t>(
            std::max<std::int64_t>(line.number("over_limit"), 0) +
            std::max<std::int64_t>(line.number("not_taken"), 0));
    if (!tells_of_request(line))
        return;
    if (this->first_ms == 0)
        this->first_ms = line.at_ms;
    const std::string route(line.text("route"));
    const auto loss = find_loss(line, fleet);
    if (!loss)
    {
        ++this->in_time[route];
        return;
    }
    // Windows of lines that come out of order may lie before the first.
    const std::int64_t passed = line.at_ms - this->first_ms;
    const std::int64_t window =
        passed >= 0 ? passed / this->settings.window_ms
                    : -((-passed - 1) / this->settings.window_ms + 1);
    ++this->lost[{route, window}][index_of(*loss)];
}

loss_table::counts loss_table::sum_of_route(const std::string& route) const
{
    counts sum{};
    for (const auto& [where, some] : this->lost)
    {
        if (where.route != route)
            continue;
        for (std::size_t i = 0; i < sum.size(); ++i)
            sum[i] += some[i];
    }
    return sum;
}

double loss_table::worth_of(const std::string& route) const
{
    const auto found = this->settings.worth.find(route);
    return found == this->settings.worth.end() ? 0 : found->second;
}

void loss_table::print(std::ostream& out) const
{
    std::set<std::string> routes;
    for (const auto& [where, some] : this->lost)
        routes.insert(where.route);
    out << "route            kind     cause               requests   worth\n";
    for (const std::string& route : routes)
    {
        const counts sum = this->sum_of_route(route);
        for (std::size_t i = 0; i < sum.size(); ++i)
        {
            if (sum[i] == 0)
                continue;
            out << std::left << std::setw(17) << route << std::setw(9)
                << to_string(kind_at(i)) << std::setw(18)
                << to_string(cause_at(i)) << std::right << std::setw(10)
                << sum[i] << std::setw(8)
                << static_cast<double>(sum[i]) * this->worth_of(route) << '\n';
        }
    }
    out << "\nfrom s  route            lost\n";
    for (const auto& [where, some] : this->lost)
    {
        std::uint64_t all = 0;
        for (const std::uint64_t count : some)
            all += count;
        constexpr std::int64_t ms_in_s = 1000;
        out << std::left << std::setw(8)
            << where.window * this->settings.window_ms / ms_in_s
            << std::setw(17) << where.route << all << '\n';
    }
    out << "\nlines that can't be read: " << this->unreadable
        << "\nlines that the routers left out: " << this->left_out << '\n';
}

json::object loss_table::to_json() const
{
    json::array rows;
    for (const auto& [where, some] : this->lost)
    {
        for (std::size_t i = 0; i < some.size(); ++i)
        {
            if (some[i] == 0)
                continue;
            rows.push_back(json::object{
                {"route", where.route},
                {"from_ms", where.window * this->settings.window_ms},
                {"kind", to_string(kind_at(i))},
                {"cause", to_string(cause_at(i))},
                {"requests", some[i]},
                {"worth",
                 static_cast<double>(some[i]) * this->worth_of(where.route)}});
        }
    }
    json::object in_time_lines;
    for (const auto& [route, count] : this->in_time)
        in_time_lines[route] = count;
    return {
        {"lost", std::move(rows)},
        {"in_time_lines", std::move(in_time_lines)},
        {"unreadable_lines", this->unreadable},
        {"left_out_lines", this->left_out}};
}

} // namespace roseworks::tools
