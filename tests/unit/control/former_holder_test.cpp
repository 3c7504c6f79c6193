#include "fleet_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

constexpr engine_id only_engine(1);

/// Three routers, an engine that ignores fencing numbers, and a model on it.
struct scene
{
    explicit scene()
    {
        this->fleet.add_engine("e0", engine_of(10'000, fencing_kind::ignores));
        this->fleet.add_model("one", model(8'000, 1));
        this->fleet.add_model("two", model(8'000, 1));
        add_routers(this->fleet, 3);
        this->fleet.run(3s);
        this->holder = holder_of(this->fleet, only_engine);
        this->other = (this->holder + 1) % 3;
        this->fleet.on_record =
            [this](const record& value, const fold_result& result)
        {
            this->unproven += result.reason == reject_reason::not_proven_gone;
            const auto* freed = std::get_if<lease_release>(&value.payload);
            this->releases += freed != nullptr;
        };
    }

    /// The holder orders a load, which stays on the wire.
    void order_on_the_wire()
    {
        this->fleet.at(this->holder).hold_orders = true;
        this->fleet.keep_demanding(this->other, this->fleet.servable("one"), 1);
        cr_assert(this->fleet.run_until(
            [this]
            {
                return !this->fleet.at(this->holder).held_orders.empty();
            },
            10s));
    }

    void lose_answer()
    {
        fake_fleet::router& router = this->fleet.at(this->holder);
        router.control->order_answered(
            router.orders.back().order,
            order_outcome::unknown,
            this->fleet.now());
    }

    /// Another router takes the lease and has the model ready.
    void take_over()
    {
        this->fleet.pause(this->holder);
        cr_assert(this->fleet.run_until(
            [this]
            {
                return holder_of(this->fleet, only_engine) != this->holder &&
                       this->fleet.replicas("one", replica_state::ready) == 1;
            },
            90s));
        this->fleet.stop_demanding();
    }

    bool unproven_within(duration limit)
    {
        return !this->fleet.run_until(
            [this]
            {
                return !this->fleet.oracle().order_may_be_in_flight(
                    only_engine);
            },
            limit);
    }

    fake_fleet fleet;
    std::size_t holder = 0;
    std::size_t other = 0;
    std::size_t unproven = 0; ///< records rejected for want of a proof
    std::size_t releases = 0;
};

} // namespace

Test(former_holder, nothing_is_reported_gone_before_the_fold_would_accept_it)
{
    scene at;
    at.order_on_the_wire();
    at.take_over();
    at.fleet.engine(only_engine).restart(at.fleet.now());
    at.fleet.run(90s);
    cr_expect_eq(at.unproven, 0, "the log grew by %zu records", at.unproven);
    cr_expect_eq(at.fleet.replicas("one"), 1);

    at.fleet.kill(at.holder);
    at.fleet.remove_vm(at.fleet.at(at.holder).name);
    cr_expect(at.fleet.run_until(
        [&]
        {
            return at.fleet.replicas("one") == 0;
        },
        10s));
    check_sound(at.fleet);
}

Test(former_holder, says_when_none_of_its_orders_is_in_flight)
{
    scene at;
    at.fleet.keep_demanding(at.other, at.fleet.servable("one"), 1);
    at.fleet.run(10s);
    at.take_over();
    cr_assert(at.fleet.oracle().order_may_be_in_flight(only_engine));
    at.fleet.resume(at.holder);
    cr_expect_not(at.unproven_within(5s));
    cr_expect_eq(at.releases, 1);
    at.fleet.run(10s);
    cr_expect_eq(at.releases, 1, "it is said once");
    check_sound(at.fleet);
}

Test(former_holder, says_nothing_while_an_order_is_on_the_wire)
{
    scene at;
    at.order_on_the_wire();
    at.take_over();
    at.fleet.resume(at.holder);
    cr_expect(at.unproven_within(20s));
    at.fleet.let_orders_go(at.holder);
    cr_expect_not(at.unproven_within(5s));
    check_sound(at.fleet);
}

Test(former_holder, an_order_without_an_answer_is_in_flight_until_seen)
{
    scene at;
    at.order_on_the_wire();
    at.lose_answer();
    at.take_over();
    // What the new holder loaded is lost, so that nothing shows the old order.
    at.fleet.engine(only_engine).restart(at.fleet.now());
    at.fleet.run(10s);
    at.fleet.resume(at.holder);
    cr_expect(at.unproven_within(20s));
    at.fleet.let_orders_go(at.holder);
    cr_expect_not(at.unproven_within(5s));
    at.fleet.run(10s);
    check_sound(at.fleet);
}

Test(former_holder, an_order_without_an_answer_is_done_once_seen)
{
    scene at;
    at.order_on_the_wire();
    at.lose_answer();
    at.take_over();
    at.fleet.resume(at.holder);
    cr_expect_not(at.unproven_within(5s));
    at.fleet.let_orders_go(at.holder);
    at.fleet.run(5s);
    cr_expect_eq(at.fleet.engine(only_engine).loads_begun(), 1);
    check_sound(at.fleet);
}

Test(former_holder, its_proof_makes_the_engine_be_read_again)
{
    scene at;
    at.order_on_the_wire();
    at.take_over();
    // Seen to be absent for long, but only before the old order arrived.
    at.fleet.engine(only_engine).restart(at.fleet.now());
    at.fleet.run(10s);
    at.fleet.resume(at.holder);
    at.fleet.run(10s);
    at.fleet.let_orders_go(at.holder);
    cr_assert(at.fleet.run_until(
        [&]
        {
            return at.fleet.replicas("one") == 0;
        },
        30s));
    cr_expect_eq(at.fleet.engine(only_engine).count("one"), 0);
    check_sound(at.fleet);
}
