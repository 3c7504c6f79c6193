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

/// A table whose models that are nowhere can be ready at a known time.
class foreseen_table final : public routing_table
{
public:
    foreseen_table(routing_table_ptr rest, std::optional<instant> when)
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

/// A model that is nowhere, and can be ready after some time.
void expect_in(harness& test, std::optional<duration> wait)
{
    test.model("m", 1, 0);
    std::optional<instant> when;
    if (wait)
        when = test.now + *wait;
    test.core.table_changed(
        std::make_shared<foreseen_table>(test.table.publish(), when), test.now);
    test.collect();
}

request_info patient_for(const harness& test, duration patience)
{
    request_info request = test.info();
    request.deadline = test.now + patience;
    return request;
}

} // namespace

/// After a release a model comes from the store in 6 s or more: callers who
/// leave after 3.2 s were held for 3.1 s each, and refused then.
Test(outlooks, who_leaves_before_the_model_can_be_there_is_refused_at_once)
{
    harness test;
    expect_in(test, 6s);
    const ticket id = test.submit(patient_for(test, 3s));
    cr_assert(test.refusals.contains(id));
    cr_assert_geq(test.refusals.at(id).front().retry_after, duration(6s));
    cr_assert(test.refusals.at(id).front().outcome == verdict::not_run);
}

Test(outlooks, who_can_wait_for_it_is_kept)
{
    harness test;
    expect_in(test, 6s);
    const ticket id = test.submit(patient_for(test, 17s));
    test.tick(4s);
    cr_assert_not(test.refusals.contains(id));
}

/// Placement still has to know that somebody asked.
Test(outlooks, a_refused_request_is_asked_for_all_the_same)
{
    harness test;
    expect_in(test, 6s);
    test.submit(patient_for(test, 3s));
    cr_assert_eq(test.demands.size(), 1);
}

/// Its load is put behind others: those who can't wait so long learn it.
Test(outlooks, a_later_outlook_refuses_those_who_wait)
{
    harness test;
    expect_in(test, 6s);
    const ticket id = test.submit(patient_for(test, 8s));
    cr_assert_not(test.refusals.contains(id));
    expect_in(test, 12s);
    cr_assert(test.refusals.contains(id));
}

Test(outlooks, without_one_the_estimate_counts)
{
    harness test;
    expect_in(test, std::nullopt);
    cr_assert(test.refusals.contains(test.submit(patient_for(test, 9s))));
    cr_assert_not(test.refusals.contains(test.submit(patient_for(test, 11s))));
}
