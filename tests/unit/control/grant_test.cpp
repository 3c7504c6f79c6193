#include "fleet_fixture.hpp"

#include <roseworks/codec.hpp>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

constexpr engine_id only_engine(1);

/** A fleet on one engine whose holder has opened a standing grant.

    The holder's records and orders under the grant are written here: routers
    of this version settle grants and don't open any.
*/
struct granted_fleet : fake_fleet
{
    granted_fleet(std::size_t routers, fencing_kind fencing, duration term)
    {
        this->add_engine("e0", engine_of(10'000, fencing));
        this->add_model("one", model(4'000, 1));
        this->add_model("two", model(4'000, 1));
        add_routers(*this, routers);
        this->run(3s);
        this->holder = holder_of(*this, only_engine);
        cr_assert_lt(this->holder, this->size());
        const engine_view view = *this->oracle().engine(only_engine);
        this->session = view.holder;
        this->held = view.held;
        const auto term_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(term).count();
        this->write(grant_open{
            only_engine,
            this->session,
            this->held,
            8'000,
            1,
            static_cast<std::uint32_t>(term_ms)});
        this->one = this->grant("one");
        this->two = this->grant("two");
        this->run(1s);
    }

    void write(record_payload payload)
    {
        record value;
        value.id = {author_id(77), 1, ++this->sequence};
        value.payload = std::move(payload);
        this->append(encode(value));
    }

    replica_id grant(const std::string& name)
    {
        const auto view =
            *this->oracle().servable(this->oracle().find_servable(name));
        this->write(grant_model{
            view.id, view.current, only_engine, this->session, this->held});
        const replica_id id(this->oracle().folded().value);
        cr_assert(this->oracle().granted_model(id));
        return id;
    }

    /// The holder's order to load a granted model reaches the engine.
    order_outcome load(replica_id id, const std::string& name)
    {
        engine_order order;
        order.order_id = "load-" + std::to_string(id.value);
        order.engine = only_engine;
        order.held = this->held;
        order.replica = id;
        order.servable = name;
        order.memory_mib = 4'000;
        return this->engine(only_engine).order(order, this->now());
    }

    bool is_ready(replica_id id) const
    {
        const auto view = this->oracle().replica(id);
        return view && view->state == replica_state::ready;
    }

    void check_bounds()
    {
        check_sound(*this);
        cr_expect_leq(this->engine(only_engine).memory_used(), 10'000);
        cr_expect_leq(this->resident("one"), 1);
        cr_expect_leq(this->resident("two"), 1);
    }

    std::size_t holder = 0;
    session_id session;
    fence held;
    replica_id one;
    replica_id two;
    std::uint64_t sequence = 0;
};

/// The holder loads a model while the log is away and dies before it says so.
void killed_with_unsettled_use(fencing_kind fencing)
{
    granted_fleet fleet(3, fencing, 60s);
    fleet.log_down = true;
    fleet.run(10s);
    cr_assert(fleet.load(fleet.one, "one") == order_outcome::accepted);
    fleet.run(5s);
    fleet.kill(fleet.holder);
    fleet.log_down = false;
    fleet.remove_vm(fleet.at(fleet.holder).name);
    fleet.keep_demanding((fleet.holder + 1) % 3, fleet.servable("one"), 1);
    fleet.keep_demanding((fleet.holder + 1) % 3, fleet.servable("two"), 1);
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.is_ready(fleet.one) &&
                   fleet.replicas("two", replica_state::ready) == 1;
        },
        120s));
    cr_expect_not(fleet.oracle().standing_grant(only_engine));
    cr_expect_eq(
        fleet.engine(only_engine).loads_begun(), 2, "one wasn't loaded again");
    fleet.check_bounds();
}

} // namespace

Test(grant, killed_holder_with_unsettled_use_on_an_engine_that_checks)
{
    killed_with_unsettled_use(fencing_kind::checks);
}

Test(grant, killed_holder_with_unsettled_use_on_an_engine_that_ignores)
{
    killed_with_unsettled_use(fencing_kind::ignores);
}

Test(grant, a_taker_waits_for_the_grants_term)
{
    granted_fleet fleet(3, fencing_kind::checks, 120s);
    fleet.kill(fleet.holder);
    fleet.run(100s);
    cr_expect_eq(
        holder_of(fleet, only_engine),
        fleet.holder,
        "nothing proves it dead and it may still order");
    cr_expect(fleet.run_until(
        [&]
        {
            return holder_of(fleet, only_engine) != fleet.holder;
        },
        60s));
    cr_expect(fleet.run_until(
        [&]
        {
            return !fleet.oracle().standing_grant(only_engine);
        },
        60s));
    cr_expect_eq(fleet.oracle().engine(only_engine)->reserved_mib, 0);
}

Test(grant, late_order_under_a_grant_is_refused_by_an_engine_that_checks)
{
    granted_fleet fleet(3, fencing_kind::checks, 40s);
    fleet.pause(fleet.holder);
    cr_assert(fleet.run_until(
        [&]
        {
            return !fleet.oracle().granted_model(fleet.one);
        },
        150s));
    cr_expect(
        fleet.load(fleet.one, "one") == order_outcome::stale_fence,
        "the successor's order came before it freed anything");
    fleet.keep_demanding((fleet.holder + 1) % 3, fleet.servable("one"), 1);
    fleet.run(30s);
    cr_expect_eq(fleet.resident("one"), 1);
    fleet.resume(fleet.holder);
    fleet.run(30s);
    fleet.check_bounds();
}

Test(grant, late_order_under_a_grant_lands_in_memory_still_reserved)
{
    granted_fleet fleet(3, fencing_kind::ignores, 40s);
    fleet.pause(fleet.holder);
    fleet.keep_demanding((fleet.holder + 1) % 3, fleet.servable("two"), 1);
    fleet.run(150s);
    cr_assert_neq(holder_of(fleet, only_engine), fleet.holder);
    cr_assert(fleet.oracle().granted_model(fleet.one), "it may still be used");
    cr_assert(fleet.load(fleet.one, "one") == order_outcome::accepted);
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.is_ready(fleet.one);
        },
        60s));
    fleet.check_bounds();
    fleet.resume(fleet.holder);
    fleet.run(60s);
    fleet.check_bounds();
}

Test(grant, a_burst_for_a_granted_model_loads_it_once)
{
    granted_fleet fleet(9, fencing_kind::checks, 60s);
    fleet.write(
        grant_open{only_engine, fleet.session, fleet.held, 4'000, 1, 60'000});
    for (std::size_t router = 0; router < fleet.size(); ++router)
    {
        fleet.keep_demanding(router, fleet.servable("one"), 1);
    }
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.is_ready(fleet.one);
        },
        30s));
    // Its holder, cut off, would order the same load under its grant.
    cr_expect(fleet.load(fleet.one, "one") == order_outcome::accepted);
    fleet.run(5s);
    cr_expect_eq(fleet.engine(only_engine).loads_begun(), 1);
    fleet.check_bounds();
}
