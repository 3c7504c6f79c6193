#pragma once

#include "core/quota/quota_client.hpp"

#include <roseworks/instant.hpp>

#include <functional>
#include <string>

namespace roseworks
{

/// The amount that one request counts towards its organisation's limit.
struct quota_request
{
    std::string organisation;
    double amount = 0;       ///< tokens, or requests if the limit counts these
    duration longest_wait{}; ///< maximum wait for the limit to allow it
};

/// Port: limits of organisations, enforced across all routers. Thread-safe.
class quota_port
{
public:
    /// Receives the decision. Called from any thread; must not block.
    using handler = std::function<void(const quota_decision&)>;

    virtual ~quota_port() = default;

    /// Reserves a request's tokens, or tells when they will be available.
    virtual void draw(quota_request request, handler on_decision) = 0;

    /// Returns the tokens reserved for a request that didn't run and won't.
    virtual void refund(std::string organisation, double amount) = 0;
};

} // namespace roseworks
