#pragma once

#include "core/quota/quota_client.hpp"

#include <roseworks/instant.hpp>

#include <functional>
#include <string>

namespace roseworks
{

/// What one request counts towards its organisation's limit.
struct quota_request
{
    std::string organisation;
    double amount = 0;       ///< tokens, or requests where these are counted
    duration longest_wait{}; ///< that it can wait to be within the limit
};

/// Port: limits of organisations, counted over all routers. May be called from
/// any thread.
class quota_port
{
public:
    /// Takes the decision; called from any thread, must not block.
    using handler = std::function<void(const quota_decision&)>;

    virtual ~quota_port() = default;

    /// Sets a request's tokens aside, or says when there will be room.
    virtual void draw(quota_request request, handler told) = 0;

    /// A request whose tokens were set aside has not run, and won't.
    virtual void give_back(std::string organisation, double amount) = 0;
};

} // namespace roseworks
