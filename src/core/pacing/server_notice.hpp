#pragma once

#include <optional>

namespace roseworks
{

/// What an answer of a backend server says about the load that it bears.
struct server_notice
{
    /// Requests per second that it accepts from all routers together.
    std::optional<double> rate_limit;
    /// Requests that it may have to reject within a second without falling
    /// over.
    std::optional<double> max_rejections;

    bool is_empty() const
    {
        return !this->rate_limit && !this->max_rejections;
    }
};

} // namespace roseworks
