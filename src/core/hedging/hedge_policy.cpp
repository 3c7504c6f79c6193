#include "core/hedging/hedge_policy.hpp"

#include <algorithm>

namespace roseworks
{

hedge_policy::hedge_policy(double share)
    : extra_share(share)
{
}

void hedge_policy::output_began(
    const request_class& of, duration latency, instant now)
{
    if (this->is_enabled())
        this->delays.add(of, latency, now);
}

void hedge_policy::rejected(std::string_view service, instant now)
{
    if (!this->is_enabled())
        return;
    const auto known = this->rejections.find(service);
    if (known != this->rejections.end())
    {
        known->second = std::max(known->second, now);
        return;
    }
    if (this->rejections.size() >= max_services)
    {
        const auto by_time = [](const auto& one)
        {
            return one.second;
        };
        this->rejections.erase(
            std::ranges::min_element(this->rejections, {}, by_time));
    }
    this->rejections.emplace(service, now);
}

hedge_policy::plan
hedge_policy::plan_for(const hedge_request& request, instant now) const
{
    const hedge_limit limit = limit_of(request);
    if (limit != hedge_limit::none)
        return {limit, {}};
    const auto delay = this->delays.delay(request.kind, now);
    if (!this->is_enabled() || !delay)
        return {hedge_limit::samples, {}};
    return {hedge_limit::none, *delay};
}

hedge_limit hedge_policy::check(
    const hedge_request& request, bool has_server, instant now) const
{
    const hedge_limit limit = limit_of(request);
    if (limit != hedge_limit::none)
        return limit;
    const auto rejection = this->rejections.find(request.service);
    const bool is_short_of_capacity =
        rejection != this->rejections.end() &&
        now - rejection->second <= rejection_pause;
    if (is_short_of_capacity)
        return hedge_limit::rejections;
    return has_server ? hedge_limit::none : hedge_limit::no_server;
}

hedge_limit hedge_policy::limit_of(const hedge_request& request)
{
    if (!request.repeatable)
        return hedge_limit::not_repeatable;
    if (request.output_begun)
        return hedge_limit::output_begun;
    if (request.attempts >= request.max_attempts)
        return hedge_limit::attempts;
    return request.suspected ? hedge_limit::suspected : hedge_limit::none;
}

} // namespace roseworks
