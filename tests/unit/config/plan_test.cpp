#include <roseworks/plan.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks;

namespace
{

desired_fleet parsed(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]
        {
            return parse_records(text);
        },
        []
        {
            cr_assert_fail("not parsed");
            return desired_fleet();
        });
}

/// A state that operators' changes are applied to, at consecutive offsets.
struct operated_fleet
{
    fleet_state state;
    std::uint64_t offset = 0;

    fold_result apply(record_payload payload)
    {
        record value;
        value.id = {author_id(1), 1, ++this->offset};
        value.stamp = static_cast<stamp_ms>(this->offset);
        value.payload = std::move(payload);
        return this->state.apply(log_offset(this->offset), value);
    }

    fold_result apply(const plan& made)
    {
        config_change change;
        change.changes = made.entity_changes();
        return this->apply(change);
    }

    plan plan_to(std::string_view text, bool prune = false) const
    {
        return make_plan(this->state, parsed(text), {prune});
    }
};

constexpr std::string_view base_text = R"([engine e]
address = 127.0.0.1:1
vm = b
data_centre = d
memory_mib = 100
[model m]
memory_mib = 40
min_replicas = 1
max_replicas = 2
load_estimate_ms = 4000
[adapter a]
base = m
memory_mib = 10
)";

} // namespace

Test(plan, adds_everything_to_an_empty_state)
{
    operated_fleet fleet;
    const plan made = fleet.plan_to(base_text);
    cr_assert_eq(made.changes.size(), 3);
    cr_expect(std::all_of(
        made.changes.begin(),
        made.changes.end(),
        [](const planned_change& step)
        {
            return step.action == planned_action::add && !step.change.expected;
        }));
    cr_expect_eq(made.effects.max_replicas_added, 3);
    cr_expect_eq(made.effects.min_replicas_added, 1);
    cr_expect_eq(made.effects.loads, 1);
    cr_expect_eq(made.effects.load_time_ms, 1000, "4 slots share 4,000 ms");
    cr_expect_eq(made.effects.declared_mib, 90);
    cr_expect_eq(made.effects.replicas_without_room, 0);
    cr_assert_eq(made.effects.engines.size(), 1);
    cr_expect_eq(made.effects.engines[0].worst_case_mib, 90);
    cr_expect(fleet.apply(made).status == fold_status::accepted);
}

Test(plan, is_empty_once_in_force)
{
    operated_fleet fleet;
    fleet.apply(fleet.plan_to(base_text));
    cr_expect(fleet.plan_to(base_text).changes.empty());
    cr_expect(fleet.plan_to(base_text, true).changes.empty());
}

Test(plan, names_the_revision_and_the_fields)
{
    operated_fleet fleet;
    fleet.apply(fleet.plan_to(base_text));
    const plan made = fleet.plan_to(
        "[model m]\nmemory_mib = 40\nmin_replicas = 1\nmax_replicas = 1\n"
        "load_estimate_ms = 4000");
    cr_assert_eq(made.changes.size(), 1);
    const planned_change& step = made.changes[0];
    cr_expect(step.action == planned_action::change);
    cr_expect_eq(step.change.expected.value, 1);
    cr_assert_eq(step.fields.size(), 1);
    cr_expect_eq(step.fields[0].field, "max_replicas");
    cr_expect_eq(step.fields[0].before, "2");
    cr_expect_eq(step.fields[0].after, "1");
    cr_expect_eq(made.effects.max_replicas_added, -1);
}

Test(plan, a_lost_race_is_rejected_with_the_winner)
{
    operated_fleet fleet;
    fleet.apply(fleet.plan_to(base_text));
    const plan first = fleet.plan_to("[model m]\nmemory_mib = 41");
    const plan second = fleet.plan_to("[model m]\nmemory_mib = 42");
    cr_expect(fleet.apply(first).status == fold_status::accepted);
    const fold_result lost = fleet.apply(second);
    cr_expect(lost.status == fold_status::rejected);
    cr_expect(lost.reason == reject_reason::revision_moved);
    cr_expect_eq(lost.winner.value, 2);
}

Test(plan, prunes_adapters_before_their_base)
{
    operated_fleet fleet;
    fleet.apply(fleet.plan_to(base_text));
    cr_expect(fleet.plan_to("", false).changes.empty());
    const plan made = fleet.plan_to("", true);
    cr_assert_eq(made.changes.size(), 3);
    cr_expect_eq(made.changes[0].change.name, "a");
    cr_expect(made.changes[0].action == planned_action::remove);
    cr_expect(fleet.apply(made).status == fold_status::accepted);
    cr_expect(declared_fleet(fleet.state).entities.empty());
}

Test(plan, finds_what_the_fold_would_reject)
{
    operated_fleet fleet;
    cr_expect_eq(
        fleet.plan_to("[adapter a]\nbase = m\nmemory_mib = 1").problems.size(),
        1);
    fleet.apply(fleet.plan_to(base_text));
    cr_expect(fleet.plan_to("[adapter b]\nbase = m\nmemory_mib = 1")
                  .problems.empty());
}

Test(plan, warns_of_a_model_that_fits_nowhere)
{
    operated_fleet fleet;
    fleet.apply(fleet.plan_to(base_text));
    const plan made = fleet.plan_to("[model big]\nmemory_mib = 101");
    cr_expect_eq(made.warnings.size(), 1);
    cr_expect_eq(made.effects.replicas_without_room, 1);
}
