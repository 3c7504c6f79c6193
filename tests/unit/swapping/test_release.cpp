#include "swap_fixture.hpp"

#include <algorithm>
#include <map>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/** Simulates a release that replaces the engines of a service one by one.

    Each new engine has an empty disk. A model that is requested all the time is
    only on the disk of the engine that is replaced last. Time is simulated.
*/
class release_replay
{
public:
    /// @param pause Time between two replacements.
    release_replay(std::size_t engines, duration pause)
        : test(model_count)
        , last("old-" + std::to_string(engines - 1))
        , replacement_interval(pause)
    {
        for (std::size_t i = 0; i < engines; ++i)
        {
            const std::string id = "old-" + std::to_string(i);
            this->old.push_back(id);
            if (id == this->last)
                this->test.engine(id, {"m0"}, {"m0"}, at(0s));
            else
                this->test.engine(id, {}, {"m1", "m2", "m3"}, at(0s));
        }
    }

    /// @return Total time during which no engine had the model loaded.
    duration play()
    {
        duration missing{};
        const instant end =
            at(0s) + this->replacement_interval * (this->old.size() + 1) +
            this->load_time;
        for (instant now = at(0s); now < end; now += step)
        {
            this->replace_engine(now);
            this->request_model(now);
            this->end_loads(now);
            for (const swap_order& order : this->test.plan(now))
                this->test.accept(order, now);
            missing += this->is_loaded() ? duration::zero() : duration(step);
        }
        return missing;
    }

    /// Loads from the store whose end was read from a report.
    std::size_t store_loads = 0;

private:
    static constexpr std::size_t model_count = 8;
    static constexpr duration step = 20ms;
    static constexpr duration load_time = 6s;

    void replace_engine(instant now)
    {
        const auto due = static_cast<std::size_t>(
            (now - at(0s)) / this->replacement_interval);
        if (due <= this->replaced || this->replaced == this->old.size())
            return;
        this->test.engines.remove(this->old[this->replaced]);
        ++this->replaced;
        this->test.engine("new-" + std::to_string(this->replaced), {}, {}, now);
    }

    void request_model(instant now)
    {
        if (this->replaced < this->old.size())
            this->test.use("m0", this->last, 1, now);
        if (!this->is_loaded())
            this->test.need("m0", 500ms, now);
    }

    void end_loads(instant now)
    {
        this->test.engines.complete_due_orders(now);
        for (const std::string& id :
             this->test.engines.take_unconfirmed_store_loads(now))
        {
            ++this->store_loads;
            const std::string model = this->test.engines.find(id)->order->model;
            this->test.report_state(
                id,
                {model},
                {model},
                this->test.engines.find(id)->orders_taken,
                now);
        }
    }

    bool is_loaded() const
    {
        return std::ranges::any_of(
            this->test.engines.all(),
            [](const auto& entry)
            {
                return entry.second.find("m0") != nullptr;
            });
    }

    swap_fixture test;
    std::string last;
    duration replacement_interval;
    std::vector<std::string> old;
    std::size_t replaced = 0;
};

} // namespace

/// Without a second copy in time, the model is missing for the 6 s of a load
/// from the store, and all of its requests wait.
Test(release, a_requested_model_is_copied_before_its_last_engine_is_replaced)
{
    release_replay replay(6, 3s);
    const duration missing = replay.play();
    cr_assert_eq(missing, duration::zero());
}

/// A load from the store uses the store's bandwidth and blocks its engine for
/// other loads.
Test(release, one_copy_of_a_rare_model_is_enough_while_no_engine_is_lost)
{
    swap_fixture test(4);
    for (int i = 0; i < 6; ++i)
        test.engine("e" + std::to_string(i), {}, {"m1", "m2", "m3"}, at(0s));
    test.engine("e9", {}, {"m0"}, at(0s));
    test.use("m0", "e9", 0, at(1s));
    for (instant now = at(1s); now < at(20s); now += 50ms)
        cr_assert(test.plan(now).empty());
}

/// With four engines, two loads from the store may run concurrently. The third
/// model has to wait until one of them has ended.
Test(release, expected_times_of_loads_from_the_store_are_reported)
{
    swap_fixture test(4);
    for (int i = 0; i < 4; ++i)
        test.engine("e" + std::to_string(i), {}, {}, at(0s));
    test.need("m0", 500ms, at(1s), "r1", 3);
    test.need("m1", 500ms, at(1s), "r2", 2);
    test.need("m2", 500ms, at(1s), "r3", 1);
    for (const swap_order& order : test.plan(at(1s)))
        test.accept(order, at(1s));
    test.plan(at(1s + 200ms));
    std::map<std::string, instant> ready;
    for (const load_forecast& one : test.planner.load_forecasts())
        ready[one.model] = one.ready;
    cr_assert_eq(ready.size(), 3);
    cr_assert(ready.at("llm/m0") == at(7s));
    cr_assert(ready.at("llm/m1") == at(7s));
    cr_assert(ready.at("llm/m2") == at(13s));
}

/// A request that is refused at once doesn't wait for the model. The model has
/// to be loaded nevertheless.
Test(release, a_model_is_loaded_for_requests_that_were_refused)
{
    swap_fixture test(4);
    for (int i = 0; i < 4; ++i)
        test.engine("e" + std::to_string(i), {}, {}, at(0s));
    test.need("m0", 500ms, at(1s));
    test.need("m0", 500ms, at(1s + 10ms), "r1", 0);
    const auto orders = test.plan(at(1s + 20ms));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].model, "m0");
}
