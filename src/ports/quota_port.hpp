#pragma once

#include "core/quota/quota_client.hpp"

#include <roseworks/instant.hpp>

#include <functional>
#include <string>

namespace roseworks
{

/// The amount that one request counts towards the limit of an account.
struct quota_request
{
    std::string account;
    double amount = 0;       ///< tokens, or requests if the limit counts these
    duration longest_wait{}; ///< maximum wait for the limit to allow it
    draw_order order{};      ///< its id is set when the draw is made
};

/// Port: limits of organisations, and of the retries of services, enforced
/// across all routers. Thread-safe.
class quota_port
{
public:
    /// Receives the decision. Called from any thread; must not block.
    using handler = std::function<void(const quota_decision&)>;

    virtual ~quota_port() = default;

    /// Reserves a request's tokens, or tells when they will be available.
    virtual void draw(quota_request request, handler on_decision) = 0;

    /// Counts a request of a service, which raises the number of retries that
    /// the service may get.
    virtual void count_request(std::string service) = 0;

    /// Returns the tokens reserved for a request that didn't run and won't.
    virtual void refund(std::string account, double amount) = 0;
};

} // namespace roseworks
