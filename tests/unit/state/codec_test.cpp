#include "fold_log.hpp"

#include <roseworks/codec.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <algorithm>
#include <cstring>

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using test::fold_log;

std::vector<std::byte> some_bytes(std::size_t count)
{
    return std::vector<std::byte>(count, std::byte{7});
}

entity_change put_change(std::string name, entity_spec spec)
{
    entity_change change;
    change.kind = kind_of(spec);
    change.name = std::move(name);
    change.expected = revision(3);
    change.spec = std::move(spec);
    return change;
}

config_change every_entity()
{
    config_change change;
    change.author = "olga";
    change.note = "note";
    change.signature = some_bytes(32);
    change.changes = {
        put_change("m", fold_log::model()),
        put_change("a", fold_log::adapter()),
        put_change("e", fold_log::engine(1)),
        put_change("s", service_spec{{{"10.0.0.1:80", "vm", "dc"}}, true, 3}),
        put_change("c", caller_spec{priority::batch, 1, 2, 3}),
        put_change("policy", policy_spec()),
        entity_change{entity_kind::model, "gone", revision(9)}};
    return change;
}

std::vector<record> every_kind()
{
    const claim_key key{1, 2};
    const session_id session(5);
    const std::vector<record_payload> payloads{
        unknown_record{99, some_bytes(4)},
        every_entity(),
        router_join{"r", "dc", "10.0.0.1:1", "10.0.0.1:2"},
        router_leave{session},
        router_gone{session, "left the list"},
        session_renew{session},
        lease_acquire{engine_id(1), session, session_id(2), log_offset(3)},
        lease_release{engine_id(1), session},
        replica_decide{
            servable_id(1),
            revision(2),
            engine_id(3),
            revision(4),
            replica_id(5),
            session,
            priority::urgent},
        replica_report{
            replica_id(1), replica_state::gone, fence(2), session, "why"},
        claim_open{key, session, 7, 1'700'000'000'000},
        claim_close{key, session, claim_outcome::answered, 200, "body"},
        request_suspect{fingerprint(1), engine_id(2), session},
        request_unblock{fingerprint(1), "olga"},
        checkpoint_chunk{log_offset(1), 2, 3, 4, some_bytes(10)},
        grant_open{engine_id(1), session, fence(2), 3, 4, 5},
        grant_model{
            servable_id(1), revision(2), engine_id(3), session, fence(4)},
        grant_settle{replica_id(1), session, fence(2), true},
        operator_key_change{"olga", 1, some_bytes(32), some_bytes(65)}};
    std::vector<record> records;
    for (const record_payload& payload : payloads)
    {
        record& value = records.emplace_back();
        value.id = {author_id(11), 22, 33};
        value.stamp = 44;
        value.payload = payload;
    }
    return records;
}

bool refused(std::span<std::byte const> bytes)
{
    return !decode(bytes);
}

/// Offset of the envelope's schema, kind and payload.
constexpr std::size_t schema_at = 3;
constexpr std::size_t kind_at = 37;
constexpr std::size_t length_at = 38;

} // namespace

Test(codec, every_kind_comes_back_as_it_was)
{
    cr_assert_eq(every_kind().size(), std::variant_size_v<record_payload>);
    for (const record& value : every_kind())
    {
        const auto bytes = encode(value);
        const auto read = decode(bytes);
        cr_assert(read);
        cr_assert_eq(read->payload.index(), value.payload.index());
        cr_assert(read->id == value.id);
        cr_assert_eq(read->stamp, value.stamp);
        cr_assert(encode(*read) == bytes);
    }
}

Test(codec, specs_come_back_as_they_were)
{
    record value;
    value.payload = every_entity();
    const auto read = decode(encode(value));
    const auto& was = std::get<config_change>(value.payload);
    const auto& is = std::get<config_change>(read->payload);
    cr_assert_eq(is.changes.size(), was.changes.size());
    for (std::size_t i = 0; i < was.changes.size(); ++i)
    {
        cr_assert(is.changes[i].spec == was.changes[i].spec);
        cr_assert(is.changes[i].expected == was.changes[i].expected);
        cr_assert_eq(is.changes[i].name, was.changes[i].name);
    }
}

Test(codec, every_truncation_and_trailing_byte_is_refused)
{
    for (const record& value : every_kind())
    {
        auto bytes = encode(value);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            cr_assert(refused(std::span(bytes).first(size)));
        bytes.push_back(std::byte{0});
        cr_assert(refused(bytes));
    }
}

Test(codec, any_changed_byte_is_refused_or_read_without_a_fault)
{
    for (const record& value : every_kind())
    {
        const auto bytes = encode(value);
        for (std::size_t at = 0; at < bytes.size(); ++at)
            for (const std::byte bit : {std::byte{1}, std::byte{128}})
            {
                auto changed = bytes;
                changed[at] ^= bit;
                if (const auto read = decode(changed))
                    cr_assert(decode(encode(*read)));
            }
    }
}

Test(codec, a_length_beyond_the_end_is_refused)
{
    record value;
    value.payload = router_gone{session_id(1), "evidence"};
    auto bytes = encode(value);
    // The text's length follows the archive's head and the session.
    const std::size_t text_at = length_at + 4 + 8;
    std::fill_n(bytes.begin() + text_at, 4, std::byte{0xFF});
    const auto what = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(decode(bytes));
            return std::string();
        },
        [](const codec_error& error)
        {
            return error.what;
        },
        []
        {
            return std::string("no error object");
        });
    cr_assert_eq(what, "length beyond the end");
}

Test(codec, an_enumerator_out_of_range_is_refused)
{
    record value;
    value.payload = replica_report{
        replica_id(1),
        static_cast<replica_state>(7),
        fence(1),
        session_id(1),
        ""};
    cr_assert(refused(encode(value)));
}

Test(codec, an_unknown_kind_is_carried)
{
    record value;
    value.payload = session_renew{session_id(5)};
    auto bytes = encode(value);
    bytes[kind_at] = std::byte{200};
    const auto read = decode(bytes);
    cr_assert(read);
    const auto& carried = std::get<unknown_record>(read->payload);
    cr_assert_eq(carried.kind, 200);
    cr_assert_eq(carried.data.size(), 8);
    cr_assert(encode(*read) == bytes);
}

Test(codec, a_newer_record_schema_is_carried)
{
    record value;
    value.payload = session_renew{session_id(5)};
    auto bytes = encode(value);
    bytes[schema_at] = std::byte{2};
    const auto read = decode(bytes);
    cr_assert(read);
    cr_assert(std::holds_alternative<unknown_record>(read->payload));
    cr_assert(encode(*read) == bytes);
    bytes[schema_at] = std::byte{0};
    cr_assert(refused(bytes));
}

Test(codec, an_unknown_entity_kind_carries_the_whole_record)
{
    record value;
    entity_change change = put_change("x", fold_log::model());
    change.kind = static_cast<entity_kind>(77);
    value.payload = config_change{"olga", "", {change}, {}};
    const auto bytes = encode(value);
    const auto read = decode(bytes);
    cr_assert(std::holds_alternative<unknown_record>(read->payload));
    cr_assert(encode(*read) == bytes);
}

Test(codec, schema_1_is_upcast)
{
    auto model = put_change("m", fold_log::model());
    auto adapter = put_change("a", fold_log::adapter());
    model.schema = adapter.schema = 1;
    std::get<model_spec>(*model.spec).min_replicas = 1;
    record value;
    value.payload = config_change{"olga", "", {model, adapter}, {}};
    const auto bytes = encode(value);
    const auto read = decode(bytes);
    cr_assert(read);
    const auto& changes = std::get<config_change>(read->payload).changes;
    const auto& upcast = std::get<model_spec>(*changes[0].spec);
    cr_assert_eq(upcast.min_replicas, 0);
    cr_assert_eq(upcast.max_replicas, fold_log::model().max_replicas);
    cr_assert_eq(upcast.memory_mib, fold_log::model().memory_mib);
    cr_assert(std::get<adapter_spec>(*changes[1].spec) == fold_log::adapter());
    cr_assert(encode(*read) == bytes, "a signature must still match");
}

Test(codec, a_policy_before_schema_3_names_no_strategy)
{
    policy_spec spec;
    spec.idle_weight = 15;
    spec.strategy = placement_kind::gap_cost_preload;
    spec.hold_ms = 240'000;
    record value;
    for (const std::uint16_t schema : {1, 2, 3})
    {
        entity_change change = put_change("policy", spec);
        change.schema = schema;
        value.payload = config_change{"olga", "", {change}, {}};
        const auto bytes = encode(value);
        const auto read = decode(bytes);
        cr_assert(read);
        const auto& changes = std::get<config_change>(read->payload).changes;
        const auto& policy = std::get<policy_spec>(*changes[0].spec);
        policy_spec wanted = spec;
        if (schema < 3)
        {
            wanted.strategy = placement_kind::unset;
            wanted.hold_ms = 0;
        }
        cr_assert(policy == wanted);
        cr_assert(encode(*read) == bytes, "a signature must still match");
    }
}

Test(codec, a_newer_entity_schema_stays_unread)
{
    entity_change change = put_change("m", fold_log::model());
    change.schema = newest_entity_schema + 1;
    change.spec.reset();
    change.unread = some_bytes(20);
    record value;
    value.payload = config_change{"olga", "", {change}, {}};
    const auto read = decode(encode(value));
    cr_assert(read);
    const auto& back = std::get<config_change>(read->payload).changes[0];
    cr_assert(!back.spec);
    cr_assert(back.unread == change.unread);
}

Test(codec, claims_without_a_fingerprint_stay_readable)
{
    record old = every_kind().front();
    old.payload = claim_open{claim_key{1, 2}, session_id(5)};
    record fresh = old;
    fresh.payload = claim_open{claim_key{1, 2}, session_id(5), 7};
    // Written as before there were fingerprints: 16 + 8 bytes.
    cr_assert_eq(encode(old).size(), length_at + 4 + 24);
    cr_assert_eq(encode(fresh).size(), length_at + 4 + 28);
    const auto read = decode(encode(old));
    cr_assert(read);
    cr_assert_eq(std::get<claim_open>(read->payload).content, 0);
    const auto known = decode(encode(fresh));
    cr_assert(known);
    cr_assert_eq(std::get<claim_open>(known->payload).content, 7);
}
