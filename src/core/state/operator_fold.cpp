#include "core/state/operator_fold.hpp"

#include "core/state/archive_reader.hpp"

#include <algorithm>
#include <string>
#include <variant>

namespace roseworks::detail
{

namespace
{

std::string key_name(std::uint8_t number)
{
    return "operators' key " + std::to_string(number);
}

/// @return Whether the record's author is a router that runs.
bool by_running_router(const fleet_data& data, const record_id& id)
{
    const session_id newest = data.sessions.newest(id.author);
    return data.sessions.live(newest) &&
           data.sessions.find(newest)->incarnation == id.incarnation;
}

bool needs_signature(const fleet_data& data, const record& value)
{
    if (!data.operator_keys.any())
        return false;
    // Routers state, too, whose VM left the list.
    if (std::holds_alternative<router_gone>(value.payload))
        return !by_running_router(data, value.id);
    return signature_of(value) != nullptr;
}

fold_result check_key(const fleet_data& data, const record& value)
{
    const std::uint8_t number = signing_number(value);
    if (number == 0)
        return reject(
            reject_reason::unsigned_change,
            "it isn't signed, and an operators' key is in force");
    const operator_key_row* row = data.operator_keys.find(number);
    if (row == nullptr)
        return reject(
            reject_reason::wrong_signature,
            key_name(number) + " was never accepted");
    if (row->retired)
        return reject(
            reject_reason::wrong_signature,
            key_name(number) + " was retired at offset " +
                std::to_string(row->since.value),
            row->since);
    if (!signed_by(value, row->key))
        return reject(
            reject_reason::wrong_signature,
            "its signature isn't of " + key_name(number) +
                " over this content");
    return accept();
}

fold_result add_key(
    fold_context& context,
    const operator_key_change& value,
    const record& whole)
{
    operator_key_store& keys = context.data.operator_keys;
    if (value.key.size() != operator_key_bytes)
        return reject(reject_reason::invalid_spec, "key: not 32 bytes");
    operator_key key;
    key.number = value.number;
    std::ranges::copy(value.key, key.bytes.begin());
    for (const auto& [number, row] : keys.all())
        if (number == key.number || row.key.bytes == key.bytes)
            return reject(
                reject_reason::entity_in_use,
                "the number or key is that of " + key_name(number),
                row.since);
    if (!keys.any() && !signed_by(whole, key))
        return reject(
            reject_reason::wrong_signature, "the first key must sign itself");
    keys.add(key, context.offset);
    keys.first(whole.id, whole.stamp, context.data.log_time);
    return accept();
}

fold_result retire_key(
    fold_context& context,
    const operator_key_change& value,
    const record& whole)
{
    operator_key_store& keys = context.data.operator_keys;
    const operator_key_row* row = keys.find(value.number);
    if (row == nullptr || row->retired)
        return reject(
            reject_reason::unknown_entity,
            key_name(value.number) + " isn't accepted");
    if (signing_number(whole) == value.number)
        return reject(
            reject_reason::entity_in_use,
            "a key is retired by another one, which shows that one is left");
    keys.retire(value.number, context.offset);
    return accept();
}

} // namespace

fold_result check_signature(fold_context& context, const record& value)
{
    fleet_data& data = context.data;
    if (!needs_signature(data, value))
        return accept();
    if (fold_result result = check_key(data, value);
        result.status != fold_status::accepted)
        return result;
    if (value.stamp < 0 || value.stamp > latest_stamp_ms)
        return reject(reject_reason::replayed_change, "its stamp isn't a time");
    if (data.log_time - value.stamp > operator_key_store::max_age_ms)
        return reject(
            reject_reason::replayed_change,
            "it was signed more than a day ago, by the log's time");
    if (!data.operator_keys.first(value.id, value.stamp, data.log_time))
        return reject(
            reject_reason::replayed_change, "a signed record with its id came");
    return accept();
}

fold_result fold(
    fold_context& context,
    const operator_key_change& value,
    const record& whole)
{
    if (value.number == 0)
        return reject(reject_reason::invalid_spec, "key number: 0");
    return value.key.empty() ? retire_key(context, value, whole)
                             : add_key(context, value, whole);
}

} // namespace roseworks::detail
