#include "harness.hpp"

#include <memory>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

constexpr software_version first_version{1};
constexpr software_version second_version{2};

/// Adds the software of the servers to another table.
class versioned_table final : public routing_table
{
public:
    using versions = std::map<std::string, software_version>;

    versioned_table(routing_table_ptr plain, versions by_address)
        : base(std::move(plain))
        , software(std::move(by_address))
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

    std::vector<std::string> servable_names() const override
    {
        return this->base->servable_names();
    }

    software_version software_at(const std::string& address) const override
    {
        const auto found = this->software.find(address);
        return found == this->software.end() ? software_version()
                                             : found->second;
    }

    bool has_software(software_version wanted) const override
    {
        return std::ranges::any_of(
            this->software,
            [wanted](const auto& one)
            {
                return one.second == wanted;
            });
    }

private:
    routing_table_ptr base;
    versions software;
};

/// Engines 1 and 2 have the first version, the others the second one.
class versioned_harness : public harness
{
public:
    explicit versioned_harness(std::uint32_t engines, std::uint16_t streams = 1)
    {
        this->model("m", 1, engines, streams);
        versioned_table::versions versions;
        for (std::uint32_t i = 1; i <= engines; ++i)
            versions["10.0.0." + std::to_string(i) + ":80"] =
                i <= 2 ? first_version : second_version;
        this->put(std::move(versions));
    }

    void put(versioned_table::versions versions)
    {
        this->core.table_changed(
            std::make_shared<const versioned_table>(
                this->table.publish(), std::move(versions)),
            this->now);
        this->collect();
    }

    request_info needing(software_version software) const
    {
        request_info request = this->info();
        request.software = software;
        return request;
    }

    /// Ends an attempt whose stream broke.
    dispatcher::finish cut_stream(ticket id, software_version software)
    {
        attempt_result result;
        result.how = attempt_result::end::broken;
        result.answer_started = true;
        result.resumable = true;
        result.tokens = 1;
        result.software = software;
        const auto outcome = this->core.finished(id, result, this->now);
        this->collect();
        return outcome;
    }
};

} // namespace

Test(software, a_request_gets_servers_of_the_software_that_it_needs)
{
    versioned_harness test(4, 8);
    for (int i = 0; i < 20; ++i)
    {
        const ticket id = test.submit(test.needing(second_version));
        cr_assert_geq(test.engine(id), 3);
        test.finish(id);
    }
}

Test(software, a_broken_answer_needs_the_software_that_began_it)
{
    for (const software_version software : {first_version, second_version})
    {
        versioned_harness test(4, 8);
        const ticket id = test.submit();
        cr_assert_not(test.cut_stream(id, software).final_answer);
        cr_assert_eq(test.grants[id].size(), 2);
        cr_assert_eq(test.engine(id) <= 2, software == first_version);
        cr_assert_not(test.cut_stream(id, software).final_answer);
        cr_assert_eq(test.engine(id) <= 2, software == first_version);
    }
}

Test(software, requests_that_wait_for_a_version_hold_up_no_others)
{
    versioned_harness test(4);
    std::vector<ticket> waiting;
    for (int i = 0; i < 20; ++i)
        waiting.push_back(test.submit(test.needing(first_version)));
    const ticket other = test.submit(test.needing(second_version));
    cr_assert(test.granted(other));
    cr_assert(test.granted(waiting[0]) && test.granted(waiting[1]));
    cr_assert_not(test.granted(waiting[2]));
    test.finish(waiting[0]);
    cr_assert(test.granted(waiting[2]));
}

Test(software, a_request_whose_software_is_gone_is_refused_at_once)
{
    versioned_harness test(4);
    const ticket id = test.submit(test.needing(software_version(3)));
    cr_assert(test.refused(id) == refusal_reason::no_capacity);
    cr_assert(test.refusals[id].front().retry_after == duration::zero());
    const ticket first = test.submit(test.needing(first_version));
    const ticket second = test.submit(test.needing(first_version));
    const ticket third = test.submit(test.needing(first_version));
    cr_assert(test.granted(first) && test.granted(second));
    test.put(
        {{"10.0.0.3:80", second_version}, {"10.0.0.4:80", second_version}});
    cr_assert(test.refused(third) == refusal_reason::no_capacity);
    cr_assert(test.cut_stream(first, first_version).final_answer);
}

Test(software, a_model_is_requested_for_the_software_that_is_needed)
{
    versioned_harness test(1);
    test.put({{"10.0.0.1:80", first_version}, {"10.0.0.9:80", second_version}});
    const ticket id = test.submit(test.needing(second_version));
    cr_assert(test.refused(id) == refusal_reason::none);
    cr_assert_eq(test.demands.size(), 1);
    cr_assert(test.demands[0].software == second_version);
}

Test(software, retries_at_a_version_draw_from_the_budget_of_the_model)
{
    versioned_harness test(4, 64);
    // Without it, the fourth retry within a second is denied.
    for (int i = 0; i < 100; ++i)
        test.finish(test.submit());
    std::vector<ticket> taken_up;
    for (int i = 0; i < 10; ++i)
        taken_up.push_back(test.submit(test.needing(first_version)));
    int retried = 0;
    for (const ticket id : taken_up)
        retried +=
            test.finish(id, attempt_result::end::broken).final_answer ? 0 : 1;
    cr_assert_eq(retried, 10);
}
