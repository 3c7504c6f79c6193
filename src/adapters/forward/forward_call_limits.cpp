// Reserves what a request may use of the limits that all routers share.
#include "adapters/forward/forward_call.hpp"
#include "adapters/forward/quota_gate.hpp"
#include "core/quota/retry_limits.hpp"
#include "core/quota/urgency_class.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::forward
{

namespace
{

/// Retry-After of a request that may not be retried here. The caller's own
/// retry is a new request.
constexpr duration retry_after_denied_retry{std::chrono::milliseconds(200)};

/// @param window    Over which an organisation's usage is summed.
/// @param time_left Until the deadline: a request that can wait for its
///                  organisation's limit does so for half of it at most.
/// @return          The order of a request among those of its organisation.
draw_order
order_of(const path_route& route, duration window, duration time_left)
{
    draw_order order;
    order.urgency_class = urgency::class_of(route, window);
    order.objective_in_us =
        std::clamp(route.objective, duration::zero(), time_left).count();
    return order;
}

} // namespace

asio::awaitable<bool> forward_call::reserve_quota()
{
    if (!this->organisation.is_limited)
        co_return true;
    quota_request quota_needed;
    quota_needed.account = this->organisation.name;
    quota_needed.amount = this->organisation.cost;
    quota_needed.longest_wait =
        this->route.objective / this->context.settings.quota_wait_divisor;
    const duration window = this->context.settings.urgency_window;
    if (window > duration::zero())
        quota_needed.order = order_of(
            this->route,
            window,
            std::max(
                duration(this->deadline - this->context.now()),
                duration::zero()));
    quota_gate gate(this->context.ports.quotas, this->pool.executor);
    const auto decision =
        co_await gate.acquire(std::move(quota_needed), *this->inbox);
    if (!decision)
    {
        co_await this->finish_interrupted();
        co_return false;
    }
    this->quota_reserved = decision->is_allowed;
    if (!decision->is_allowed)
        co_await this->finish_without_response(
            {true,
             verdict::not_run,
             refusal_reason::organisation_limit,
             decision->retry_after});
    co_return decision->is_allowed;
}

asio::awaitable<bool> forward_call::reserve_retry()
{
    if (this->sends == 0 || this->retry_reserved)
        co_return true;
    quota_request one_retry;
    one_retry.account = retry_account(this->service);
    one_retry.amount = 1;
    quota_gate gate(this->context.ports.quotas, this->pool.executor);
    const auto decision =
        co_await gate.acquire(std::move(one_retry), *this->inbox);
    if (!decision)
    {
        this->context.ports.dispatch.abandon(this->admission_ticket);
        co_await this->finish_interrupted();
        co_return false;
    }
    this->retry_reserved = decision->is_allowed;
    if (this->retry_reserved)
    {
        this->context.metrics.retries.increment();
        co_return true;
    }
    this->context.metrics.retries_denied.increment();
    this->context.ports.dispatch.abandon(this->admission_ticket);
    co_await this->finish_without_response(
        {true,
         this->may_have_run ? verdict::may_have_run : verdict::not_run,
         refusal_reason::retries_exhausted,
         retry_after_denied_retry});
    co_return false;
}

void forward_call::return_unused()
{
    if (this->quota_reserved && !this->may_have_run)
        this->context.ports.quotas.refund(
            this->organisation.name, this->organisation.cost);
    if (this->retry_reserved)
        this->context.ports.quotas.refund(retry_account(this->service), 1);
}

} // namespace roseworks::forward
