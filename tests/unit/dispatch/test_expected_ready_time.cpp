#include "harness.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/// A routing table that gives a fixed time for when models without replicas
/// become ready.
class fixed_ready_table final : public routing_table
{
public:
    fixed_ready_table(routing_table_ptr rest, std::optional<instant> when)
        : base(std::move(rest))
        , ready(when)
    {
    }

    const servable_routes* find_servable(std::string_view name) const override
    {
        return this->base->find_servable(name);
    }

    const servable_routes* find_servable(servable_id id) const override
    {
        return this->base->find_servable(id);
    }

    const service_routes* find_service(std::string_view name) const override
    {
        return this->base->find_service(name);
    }

    const caller_spec* find_caller(std::string_view name) const override
    {
        return this->base->find_caller(name);
    }

    bool is_blocked(fingerprint request) const override
    {
        return this->base->is_blocked(request);
    }

    bool is_suspect(fingerprint request) const override
    {
        return this->base->is_suspect(request);
    }

    bool log_available() const override
    {
        return this->base->log_available();
    }

    std::optional<instant> expected_ready(std::string_view) const override
    {
        return this->ready;
    }

    std::vector<std::string> servable_names() const override
    {
        return this->base->servable_names();
    }

private:
    routing_table_ptr base;
    std::optional<instant> ready;
};

/// Adds a model without replicas that is expected to be ready after `wait`;
/// empty: the time is unknown.
void expect_ready_in(harness& test, std::optional<duration> wait)
{
    test.model("m", 1, 0);
    std::optional<instant> when;
    if (wait)
        when = test.now + *wait;
    test.core.table_changed(
        std::make_shared<fixed_ready_table>(test.table.publish(), when),
        test.now);
    test.collect();
}

request_info with_timeout(const harness& test, duration timeout)
{
    request_info request = test.info();
    request.deadline = test.now + timeout;
    return request;
}

} // namespace

/// Guards against holding requests that can't succeed. After a release, loading
/// a model from the store takes 6 s or more. Callers with a time-out of 3.2 s
/// waited for 3.1 s and were refused then.
Test(expected_ready_time, a_request_with_an_earlier_deadline_is_refused_at_once)
{
    harness test;
    expect_ready_in(test, 6s);
    const ticket id = test.submit(with_timeout(test, 3s));
    cr_assert(test.refusals.contains(id));
    cr_assert_geq(test.refusals.at(id).front().retry_after, duration(6s));
    cr_assert(test.refusals.at(id).front().outcome == verdict::not_run);
}

Test(expected_ready_time, a_request_with_a_later_deadline_waits)
{
    harness test;
    expect_ready_in(test, 6s);
    const ticket id = test.submit(with_timeout(test, 17s));
    test.tick(4s);
    cr_assert_not(test.refusals.contains(id));
}

/// Placement needs the demand even if the request was refused.
Test(expected_ready_time, a_refused_request_still_sends_demand)
{
    harness test;
    expect_ready_in(test, 6s);
    test.submit(with_timeout(test, 3s));
    cr_assert_eq(test.demands.size(), 1);
}

/// The time moves when other loads are scheduled first. Requests that can't
/// wait that long are refused.
Test(expected_ready_time, a_later_time_refuses_waiting_requests)
{
    harness test;
    expect_ready_in(test, 6s);
    const ticket id = test.submit(with_timeout(test, 8s));
    cr_assert_not(test.refusals.contains(id));
    expect_ready_in(test, 12s);
    cr_assert(test.refusals.contains(id));
}

Test(expected_ready_time, without_a_time_the_load_estimate_is_used)
{
    harness test;
    expect_ready_in(test, std::nullopt);
    cr_assert(test.refusals.contains(test.submit(with_timeout(test, 9s))));
    cr_assert_not(test.refusals.contains(test.submit(with_timeout(test, 11s))));
}
