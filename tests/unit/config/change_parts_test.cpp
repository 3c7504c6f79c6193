#include <roseworks/change_parts.hpp>
#include <roseworks/fleet_state.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <optional>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks;

namespace
{

/// A base model and so many adapters on it.
config_change many_adapters(std::size_t count)
{
    config_change whole;
    whole.author = "nuwan";
    whole.note = "all farms";
    model_spec base;
    base.memory_mib = 12'000;
    whole.changes.push_back(
        {entity_kind::model, "base", {}, newest_entity_schema, base, {}});
    adapter_spec adapter;
    adapter.base = "base";
    adapter.memory_mib = 100;
    for (std::size_t i = 0; i < count; ++i)
    {
        whole.changes.push_back(
            {entity_kind::adapter,
             "farm-" + std::to_string(i),
             {},
             newest_entity_schema,
             adapter,
             {}});
    }
    return whole;
}

record record_of(config_change change, std::uint64_t sequence)
{
    record value;
    value.id = {author_id(1), 1, sequence};
    value.payload = std::move(change);
    return value;
}

std::vector<config_change>
parts_of(config_change whole, std::size_t limit = max_part_bytes)
{
    return boost::leaf::try_handle_all(
        [&]
        {
            return split_change(std::move(whole), limit);
        },
        []
        {
            return std::vector<config_change>();
        });
}

bool decodes(const std::vector<std::byte>& bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool>
        {
            BOOST_LEAF_CHECK(decode(bytes));
            return true;
        },
        []
        {
            return false;
        });
}

} // namespace

Test(change_parts, a_change_that_fits_stays_one_record)
{
    const auto parts = parts_of(many_adapters(100));
    cr_assert_eq(parts.size(), 1);
    cr_expect_eq(parts[0].changes.size(), 101);
    cr_expect_eq(parts[0].note, "all farms");
}

Test(change_parts, a_record_that_no_router_reads_becomes_parts_that_all_read)
{
    constexpr std::size_t adapters = 87'000;
    const config_change whole = many_adapters(adapters);
    cr_assert_not(decodes(encode(record_of(whole, 1))), "it fits: no test");
    const auto parts = parts_of(whole);
    fleet_state state;
    std::uint64_t offset = 0;
    std::size_t changes = 0;
    for (const config_change& part : parts)
    {
        const record value = record_of(part, ++offset);
        const auto bytes = encode(value);
        cr_assert(decodes(bytes));
        cr_assert_leq(bytes.size(), max_part_bytes);
        cr_assert_eq(
            state.apply(log_offset(offset), value).status,
            fold_status::accepted);
        for (const entity_change& entity : part.changes)
            cr_assert_eq(entity.name, whole.changes[changes++].name);
    }
    cr_expect_eq(changes, adapters + 1);
}

Test(change_parts, a_part_that_loses_a_race_leaves_the_earlier_ones_in_force)
{
    constexpr std::size_t limit = 2000;
    const auto parts = parts_of(many_adapters(100), limit);
    cr_assert_geq(parts.size(), 3);
    fleet_state state;
    state.apply(log_offset(1), record_of(parts[0], 1));
    config_change rival;
    rival.changes = {parts[1].changes.back()};
    state.apply(log_offset(2), record_of(rival, 2));
    const auto lost = state.apply(log_offset(3), record_of(parts[1], 3));
    cr_expect_eq(lost.status, fold_status::rejected);
    cr_expect_eq(lost.winner, log_offset(2));
    cr_expect(state.find_servable(parts[0].changes.back().name));
    cr_expect_not(state.find_servable(parts[1].changes.front().name));
}

Test(change_parts, an_entity_over_the_limit_is_named)
{
    config_change whole = many_adapters(1);
    model_spec large;
    large.version = std::string(max_part_bytes, 'v');
    whole.changes.push_back(
        {entity_kind::model, "large", {}, newest_entity_schema, large, {}});
    const std::string named = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(split_change(whole));
            return std::string();
        },
        [](const oversized_entity& entity)
        {
            return entity.name;
        },
        []
        {
            return std::string();
        });
    cr_expect_eq(named, "large");
}
