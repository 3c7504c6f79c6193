#include "frontier.hpp"

#include <algorithm>
#include <tuple>

namespace roseworks::bench
{

frontier::frontier(std::span<const operating_point> sweep)
{
    std::vector<operating_point> ordered(sweep.begin(), sweep.end());
    std::sort(
        ordered.begin(),
        ordered.end(),
        [](const operating_point& one, const operating_point& other)
        {
            return std::tie(one.idle_hours, one.cold_p99_s) <
                   std::tie(other.idle_hours, other.cold_p99_s);
        });
    for (const operating_point& point : ordered)
    {
        const bool useless = !this->points.empty() &&
                             point.cold_p99_s >= this->points.back().cold_p99_s;
        if (useless)
        {
            continue;
        }
        this->points.push_back(point);
    }
}

double frontier::cold_at(double idle_hours) const
{
    if (idle_hours <= this->points.front().idle_hours)
    {
        return this->points.front().cold_p99_s;
    }
    for (std::size_t i = 1; i < this->points.size(); ++i)
    {
        const operating_point& left = this->points[i - 1];
        const operating_point& right = this->points[i];
        if (idle_hours <= right.idle_hours)
        {
            const double share = (idle_hours - left.idle_hours) /
                                 (right.idle_hours - left.idle_hours);
            return left.cold_p99_s +
                   share * (right.cold_p99_s - left.cold_p99_s);
        }
    }
    return this->points.back().cold_p99_s;
}

double frontier::idle_at(double cold_p99_s) const
{
    if (cold_p99_s >= this->points.front().cold_p99_s)
    {
        return this->points.front().idle_hours;
    }
    for (std::size_t i = 1; i < this->points.size(); ++i)
    {
        const operating_point& left = this->points[i - 1];
        const operating_point& right = this->points[i];
        if (cold_p99_s >= right.cold_p99_s)
        {
            const double share = (left.cold_p99_s - cold_p99_s) /
                                 (left.cold_p99_s - right.cold_p99_s);
            return left.idle_hours +
                   share * (right.idle_hours - left.idle_hours);
        }
    }
    return this->points.back().idle_hours;
}

} // namespace roseworks::bench
