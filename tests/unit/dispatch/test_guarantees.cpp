#include "harness.hpp"

#include <cstdlib>
#include <random>
#include <rapidcheck.h>
#include <set>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;
using end_kind = attempt_result::end;

namespace
{

/// Sends random events to a dispatcher. Tracks the state of each request and
/// asserts the guarantees of the dispatcher after each event.
class random_run
{
public:
    random_run()
        : test(settings())
    {
        this->test.model("m", 1, 2, 2);
        this->test.model("n", 2, 1, 1, 2);
        this->test.model("cold", 3, 0);
        this->test.allow_urgent();
    }

    void step(std::uint32_t what, std::uint32_t detail)
    {
        switch (what % 16)
        {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4:
            this->submit(detail);
            break;
        case 5:
        case 6:
        case 7:
        case 8:
        case 9:
            this->end_one(detail);
            break;
        case 10:
            this->abandon_one(detail);
            break;
        case 11:
            this->change_table(detail);
            break;
        case 12:
            this->test.core.vm_leaving(
                detail % 2 == 0 ? "vm1" : "vm2",
                detail % 3 == 0,
                this->test.now);
            break;
        case 13:
            this->test.core.load_reported(
                {engine_id(1 + detail % 3), detail % 5, detail % 7},
                this->test.now);
            break;
        default:
            this->test.now += std::chrono::milliseconds(detail % 2000);
            this->test.core.tick(this->test.now);
            break;
        }
        this->settle();
    }

    /// Drains the dispatcher and ends all attempts. Asserts that every ticket
    /// received its final answer.
    void finish()
    {
        this->test.core.drain(this->test.now);
        this->settle();
        while (!this->running.empty())
        {
            this->end(*this->running.begin(), end_kind::answered, false);
            this->settle();
        }
        RC_ASSERT(this->open.empty());
        RC_ASSERT(this->test.core.queued() == 0);
        RC_ASSERT(this->test.core.in_flight() == 0);
    }

private:
    static dispatcher::options settings()
    {
        dispatcher::options chosen;
        chosen.max_queued = 12;
        chosen.max_queued_per_target = 8;
        chosen.max_held_bytes = 40;
        return chosen;
    }

    void submit(std::uint32_t detail)
    {
        static constexpr const char* names[] = {"m", "m", "n", "cold", "none"};
        request_info request;
        request.target = names[detail % 5];
        request.asked = static_cast<priority>(detail / 5 % 3);
        request.caller = detail % 7 == 0 ? "stranger" : "anonymous";
        request.deadline =
            this->test.now + std::chrono::milliseconds(detail % 20'000);
        request.content = fingerprint(detail % 4);
        request.prefix = detail % 3;
        request.prompt_bytes = detail % 20'000;
        request.repeatable = detail % 2 == 0;
        request.held_bytes = detail % 10;
        const bool repeatable = request.repeatable;
        const ticket id =
            this->test.core.submit(std::move(request), this->test.now);
        RC_ASSERT(this->open.insert(id).second);
        if (!repeatable)
        {
            this->once.insert(id);
        }
    }

    void end_one(std::uint32_t detail)
    {
        if (this->running.empty())
        {
            return;
        }
        auto chosen = this->running.begin();
        std::advance(chosen, detail / 8 % this->running.size());
        const auto how = static_cast<end_kind>(detail % 7);
        const bool started = detail % 3 == 0 && how >= end_kind::broken;
        this->end(*chosen, how, started);
    }

    void end(ticket id, end_kind how, bool started)
    {
        this->running.erase(id);
        const bool may_have_run = how != end_kind::refused_not_run &&
                                  how != end_kind::not_sent &&
                                  how != end_kind::withheld;
        if (may_have_run)
        {
            this->reached.insert(id);
        }
        attempt_result result;
        result.how = how;
        result.answer_started = started;
        result.total = 300ms;
        result.first_byte = 100ms;
        const auto outcome =
            this->test.core.finished(id, result, this->test.now);
        if (!outcome.final_answer)
        {
            return;
        }
        RC_ASSERT(this->open.erase(id) == 1);
        if (this->reached.contains(id))
        {
            RC_ASSERT(outcome.outcome != verdict::not_run);
        }
    }

    void abandon_one(std::uint32_t detail)
    {
        if (this->open.empty())
        {
            return;
        }
        auto chosen = this->open.begin();
        std::advance(chosen, detail % this->open.size());
        const ticket id = *chosen;
        this->open.erase(chosen);
        this->running.erase(id);
        this->test.core.abandon(id, this->test.now);
    }

    void change_table(std::uint32_t detail)
    {
        const fingerprint one(1 + detail / 8 % 3);
        switch (detail % 6)
        {
        case 0:
            this->test.table.set_suspect(one, detail % 4 == 0);
            break;
        case 1:
            this->test.table.set_blocked(one, detail % 4 == 1);
            break;
        case 2:
            this->test.table.set_log_available(detail % 3 != 0);
            break;
        case 3:
            this->test.model("cold", 3, detail / 8 % 3);
            return;
        case 4:
            this->test.model("m", 1, detail / 8 % 4, 1 + detail % 3);
            return;
        default:
            this->test.table.erase(servable_id(2));
            break;
        }
        this->test.core.table_changed(
            this->test.table.publish(), this->test.now);
    }

    /// Checks the commands since the last call against the tracked state.
    void settle()
    {
        this->test.collect();
        for (auto& [id, given] : this->test.grants)
        {
            RC_ASSERT(given.size() == 1);
            RC_ASSERT(this->open.contains(id));
            RC_ASSERT(this->running.insert(id).second);
            RC_ASSERT(!this->once.contains(id) || !this->reached.contains(id));
        }
        for (auto& [id, given] : this->test.refusals)
        {
            RC_ASSERT(given.size() == 1);
            RC_ASSERT(this->open.erase(id) == 1);
            RC_ASSERT(!this->running.contains(id));
            RC_ASSERT(given[0].retry_after > 0s);
            RC_ASSERT(
                this->reached.contains(id) ==
                (given[0].outcome == verdict::may_have_run));
        }
        this->test.grants.clear();
        this->test.refusals.clear();
        RC_ASSERT(this->test.core.in_flight() == this->running.size());
        RC_ASSERT(
            this->test.core.queued() ==
            this->open.size() - this->running.size());
    }

    harness test;
    std::set<ticket> open;    ///< without a final answer so far
    std::set<ticket> running; ///< granted, attempt not ended
    std::set<ticket> once;    ///< not repeatable
    std::set<ticket> reached; ///< an attempt may have reached a server
};

} // namespace

Test(guarantees, one_final_answer_each_and_no_second_run)
{
    setenv("RC_PARAMS", "seed=20240607 max_success=300 max_size=400", 1);
    const bool held = rc::check(
        "random events",
        []
        {
            random_run run;
            const auto events = *rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::arbitrary<std::uint32_t>());
            for (const std::uint32_t event : events)
            {
                run.step(event, event / 16);
            }
            run.finish();
        });
    cr_assert(held);
}

Test(guarantees, same_events_give_same_commands)
{
    const auto run = []
    {
        dispatcher::options settings;
        settings.seed = 5;
        harness test(settings);
        test.model("m", 1, 4, 3);
        std::string trace;
        std::mt19937 random(3);
        for (int i = 0; i < 2000; ++i)
        {
            request_info request = test.info();
            request.caller = std::to_string(random() % 5);
            request.deadline = test.now + std::chrono::seconds(random() % 40);
            test.submit(request);
            if (random() % 2 == 0 && !test.order.empty())
            {
                const ticket id = test.order[random() % test.order.size()];
                test.finish(id);
            }
            test.tick(std::chrono::milliseconds(random() % 50));
        }
        for (const ticket id : test.order)
        {
            trace += std::to_string(id.value) + '@' +
                     std::to_string(test.engine(id)) + ' ';
        }
        for (const auto& [id, all] : test.refusals)
        {
            trace += std::to_string(id.value) + '!' +
                     std::to_string(all[0].retry_after.count()) + ' ';
        }
        return trace;
    };
    const std::string first = run();
    cr_assert(first.size() > 1000);
    cr_assert(first == run());
}
