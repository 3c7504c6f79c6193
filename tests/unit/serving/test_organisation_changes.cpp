#include "core/serving/organisation_changes.hpp"

#include <criterion/criterion.h>

using namespace roseworks;

namespace
{

organisation make_organisation(
    std::string name, std::vector<key_digest> keys, double per_second)
{
    organisation made;
    made.name = std::move(name);
    made.keys = std::move(keys);
    made.limit = usage_limit{per_second, 0};
    return made;
}

} // namespace

Test(
    organisation_changes, counts_changed_keys_and_limits_and_lists_dropped_keys)
{
    deployment before;
    before.organisations = {
        make_organisation("o1", {digest_of("a"), digest_of("b")}, 5),
        make_organisation("o2", {digest_of("c")}, 5)};
    deployment now;
    now.organisations = {
        make_organisation("o1", {digest_of("b"), digest_of("d")}, 6),
        make_organisation("o2", {digest_of("c")}, 5)};
    const organisation_changes changes = compare_organisations(&before, now);
    cr_assert_eq(changes.keys_added, 1);
    cr_assert_eq(changes.keys_dropped, 1);
    cr_assert_eq(changes.limits_changed, 1);
    cr_assert_eq(changes.dropped_fingerprints, fingerprint_of(digest_of("a")));
    cr_assert(changes.any());
    cr_assert_not(compare_organisations(&now, now).any());
}

Test(organisation_changes, a_first_configuration_adds_all_keys)
{
    deployment now;
    cr_assert_not(compare_organisations(nullptr, now).any());
    now.organisations = {make_organisation("o1", {digest_of("a")}, 5)};
    cr_assert_eq(compare_organisations(nullptr, now).keys_added, 1);
}

Test(organisation_changes, lists_only_a_few_of_many_dropped_keys)
{
    deployment before;
    std::vector<key_digest> keys;
    for (int i = 0; i < 100; ++i)
        keys.push_back(digest_of(std::to_string(i)));
    before.organisations = {make_organisation("o1", keys, 5)};
    const organisation_changes changes =
        compare_organisations(&before, deployment());
    cr_assert_eq(changes.keys_dropped, 100);
    cr_assert_lt(changes.dropped_fingerprints.size(), 100);
}
