#include "fold_log.hpp"

#include <roseworks/codec.hpp>
#include <roseworks/operator_key.hpp>

#include <array>
#include <rapidcheck.h>
#include <set>

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::test;

constexpr stamp_ms day = 86'400'000;

operator_signing_key key_of(std::uint8_t number)
{
    const std::vector<std::byte> secret(operator_key_bytes, std::byte(number));
    return *operator_signing_key::make(number, secret);
}

/// A log to which operators write signed records.
class signed_log : public fold_log
{
public:
    /// @return A record by an operator's tool: an author of its own.
    record made(record_payload payload)
    {
        record value;
        value.id = {author_id(1000 + ++this->tool_runs), 1, 1};
        value.stamp = this->now;
        value.payload = std::move(payload);
        return value;
    }

    record signed_with(std::uint8_t number, record_payload payload)
    {
        record value = this->made(std::move(payload));
        cr_assert(key_of(number).sign(value));
        return value;
    }

    config_change model_change(const std::string& name = "m")
    {
        return {
            "olga",
            "",
            {this->change(entity_kind::model, name, fold_log::model())},
            {}};
    }

    operator_key_change key_change(std::uint8_t number, bool retire = false)
    {
        const operator_key key = key_of(number).public_key();
        operator_key_change change{"olga", number, {}, {}};
        if (!retire)
            change.key.assign(key.bytes.begin(), key.bytes.end());
        return change;
    }

    fold_result put_signed(std::uint8_t number, record_payload payload)
    {
        return this->put_record(this->signed_with(number, std::move(payload)));
    }

    std::uint64_t tool_runs = 0;
};

} // namespace

Test(operator_key, a_signature_covers_every_bit_of_the_record)
{
    signed_log log;
    record value = log.signed_with(1, log.model_change());
    const operator_key key = key_of(1).public_key();
    cr_assert(signed_by(value, key));
    cr_assert_not(signed_by(value, key_of(2).public_key()));
    const std::vector<std::byte> bytes = encode(value);
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        std::vector<std::byte> changed = bytes;
        changed[i] ^= std::byte(1);
        const auto read = decode(changed);
        cr_assert(!read || !signed_by(*read, key), "byte %zu", i);
    }
}

Test(operator_key, signed_kinds_survive_the_codec_and_old_ones_are_read)
{
    signed_log log;
    const operator_key key = key_of(1).public_key();
    for (const record_payload& payload : std::vector<record_payload>{
             log.model_change(),
             router_gone{session_id(1), "vm"},
             request_unblock{fingerprint(1), "olga"},
             log.key_change(1)})
    {
        const record value = log.signed_with(1, payload);
        const auto read = decode(encode(value));
        cr_assert(read);
        cr_assert(signed_by(*read, key));
        cr_assert_gt(encode(value).size(), encode(log.made(payload)).size());
    }
    record value = log.made(session_renew{session_id(1)});
    cr_assert_not(key_of(1).sign(value));
}

Test(operator_key, unsigned_and_forged_changes_are_rejected_once_a_key_counts)
{
    signed_log log;
    cr_assert(accepted(log.put_record(log.made(log.model_change("before")))));
    cr_assert(rejected(
        log.put_record(log.made(log.key_change(1))),
        reject_reason::wrong_signature));
    cr_assert(accepted(log.put_signed(1, log.key_change(1))));
    cr_assert(rejected(
        log.put_record(log.made(log.model_change())),
        reject_reason::unsigned_change));
    cr_assert(rejected(
        log.put_signed(2, log.model_change()), reject_reason::wrong_signature));
    record forged = log.signed_with(1, log.model_change());
    std::get<config_change>(forged.payload).author = "mallory";
    cr_assert(rejected(log.put_record(forged), reject_reason::wrong_signature));
    // A stranger's key with the accepted one's number.
    const std::vector<std::byte> secret(operator_key_bytes, std::byte(9));
    record stranger = log.made(log.model_change());
    cr_assert(operator_signing_key::make(1, secret)->sign(stranger));
    cr_assert(
        rejected(log.put_record(stranger), reject_reason::wrong_signature));
    cr_assert(accepted(log.put_signed(1, log.model_change())));
}

Test(operator_key, gone_and_unblock_are_signed_and_routers_need_no_key)
{
    signed_log log;
    log.put_signed(1, log.key_change(1));
    const session_id one = log.join(2);
    const session_id two = log.join(3);
    const router_gone gone{one, "olga: saw it burn"};
    cr_assert(rejected(
        log.put_record(log.made(gone)), reject_reason::unsigned_change));
    cr_assert(accepted(log.put_signed(1, gone)));
    // Another router read the VM list; one that has ended counts no more.
    cr_assert(rejected(
        log.put_by(author_id(2), 1, router_gone{two, "left the list"}),
        reject_reason::unsigned_change));
    const session_id three = log.join(4);
    cr_assert(accepted(
        log.put_by(author_id(3), 1, router_gone{three, "left the list"})));
    const fingerprint request(7);
    log.put_by(author_id(3), 1, request_suspect{request, {}, two});
    const request_unblock unblock{request, "olga"};
    cr_assert(rejected(
        log.put_record(log.made(unblock)), reject_reason::unsigned_change));
    cr_assert(accepted(log.put_signed(1, unblock)));
}

Test(operator_key, keys_rotate_side_by_side_and_one_is_always_left)
{
    signed_log log;
    log.put_signed(1, log.key_change(1));
    cr_assert(rejected(
        log.put_signed(2, log.key_change(2)), reject_reason::wrong_signature));
    cr_assert(accepted(log.put_signed(1, log.key_change(2))));
    cr_assert(accepted(log.put_signed(1, log.model_change("by-old"))));
    cr_assert(accepted(log.put_signed(2, log.model_change("by-new"))));
    cr_assert(rejected(
        log.put_signed(1, log.key_change(1, true)),
        reject_reason::entity_in_use));
    cr_assert(accepted(log.put_signed(2, log.key_change(1, true))));
    cr_assert(rejected(
        log.put_signed(1, log.model_change()), reject_reason::wrong_signature));
    cr_assert(rejected(
        log.put_signed(2, log.key_change(1)), reject_reason::entity_in_use));
    cr_assert(rejected(
        log.put_signed(2, log.key_change(2, true)),
        reject_reason::entity_in_use));
    cr_assert(accepted(log.put_signed(2, log.model_change())));
}

Test(operator_key, a_signed_change_counts_once_however_late_it_comes_again)
{
    signed_log log;
    log.put_signed(1, log.key_change(1));
    const record add = log.signed_with(1, log.model_change());
    cr_assert(accepted(log.put_record(add)));
    config_change remove{
        "olga", "", {log.removal(entity_kind::model, "m")}, {}};
    cr_assert(accepted(log.put_signed(1, remove)));
    const auto again = [&](fold_status expected, const char* when)
    {
        cr_assert(log.put_record(add).status == expected, "%s", when);
        cr_assert_not(log.state.find_servable("m"), "%s", when);
    };
    again(fold_status::duplicate, "at once");
    // The general filter of ids forgets a silent author after a day.
    log.pass(day / 2);
    again(fold_status::duplicate, "after half a day");
    log.pass(2 * day);
    again(fold_status::rejected, "after its author was forgotten");
    cr_assert(accepted(log.put_signed(1, log.model_change())));
}

Test(operator_key, a_change_stamped_ahead_counts_once_too)
{
    signed_log log;
    log.put_signed(1, log.key_change(1));
    record add = log.made(log.model_change());
    add.stamp += 10 * day;
    cr_assert(key_of(1).sign(add));
    cr_assert(accepted(log.put_record(add)));
    log.put_signed(
        1,
        config_change{"olga", "", {log.removal(entity_kind::model, "m")}, {}});
    log.pass(5 * day);
    cr_assert_not(accepted(log.put_record(add)));
}

Test(operator_key, a_checkpoint_carries_keys_and_signed_ids)
{
    signed_log log;
    log.put_signed(1, log.key_change(1));
    const record add = log.signed_with(1, log.model_change());
    log.put_record(add);
    auto again = fleet_state::restore(log.state.snapshot());
    cr_assert(again);
    cr_assert_eq(again->hash(), log.state.hash());
    const auto result = again->apply(
        log_offset(log.at.value + 1), log.made(log.model_change("x")));
    cr_assert(rejected(result, reject_reason::unsigned_change));
    std::vector<operator_key> keys;
    again->for_each_operator_key(
        [&](const operator_key_view& view)
        {
            keys.push_back(view.key);
        });
    cr_assert(keys == std::vector{key_of(1).public_key()});
}

// Random records by keys accepted, retired and unknown: none counts but one
// signed by a key that is accepted just then, and a fold that starts from a
// checkpoint anywhere agrees.
Test(operator_key, only_accepted_keys_ever_change_anything)
{
    const bool holds = rc::check(
        "only accepted keys change anything",
        [](const std::vector<std::array<std::uint8_t, 3>>& steps)
        {
            signed_log log;
            std::set<std::uint8_t> good;
            for (const auto& [what, by, about] : steps)
            {
                const std::uint8_t signer = 1 + by % 4;
                const std::uint8_t number = 1 + about % 4;
                record_payload payload =
                    log.model_change("m" + std::to_string(log.at.value));
                if (what % 3 != 0)
                    payload = log.key_change(number, what % 3 == 2);
                const bool first = good.empty();
                const bool may =
                    good.contains(signer) || (first && what % 3 != 2);
                auto twin = fleet_state::restore(log.state.snapshot());
                RC_ASSERT(bool(twin));
                const auto result = log.put_signed(signer, payload);
                twin->apply(log.at, log.records.back());
                RC_ASSERT(twin->hash() == log.state.hash());
                RC_ASSERT(may || !accepted(result));
                if (!accepted(result) || what % 3 == 0)
                    continue;
                if (what % 3 == 1)
                    good.insert(number);
                else
                    good.erase(number);
                RC_ASSERT(!good.empty());
            }
        });
    cr_assert(holds);
}
