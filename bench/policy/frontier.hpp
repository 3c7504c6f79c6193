#pragma once

#include <span>
#include <vector>

namespace roseworks::bench
{

/// Where one replay lies between the two objectives.
struct operating_point
{
    double idle_hours = 0;
    double cold_p99_s = 0;
};

/** The best that a sweep reaches: its points that no other beats in both
    objectives, joined by straight lines.
*/
class frontier
{
public:
    explicit frontier(std::span<const operating_point> sweep);

    /// @return Cold start at equal idle hours; held at the ends.
    double cold_at(double idle_hours) const;

    /// @return Idle hours at equal cold start; held at the ends.
    double idle_at(double cold_p99_s) const;

private:
    std::vector<operating_point> points; ///< idle rises, cold start falls
};

} // namespace roseworks::bench
