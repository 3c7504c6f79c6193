#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/fleet_state.hpp>
#include <roseworks/record.hpp>
#include <roseworks/specs.hpp>

#include <array>
#include <cstddef>
#include <string_view>
#include <variant>

namespace roseworks
{

namespace detail
{

/// @return The value's word in a table that is in the order of the enumerators.
template <std::size_t Count, class Enum>
constexpr std::string_view
enumerator_word(const std::array<std::string_view, Count>& words, Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < Count ? words[index] : "unknown";
}

inline constexpr std::array<std::string_view, 7> entity_kind_words{
    "entity", "model", "adapter", "engine", "service", "caller", "policy"};

inline constexpr std::array<std::string_view, 7> replica_state_words{
    "decided", "loading", "ready", "draining", "unloading", "failed", "gone"};

inline constexpr std::array<std::string_view, 4> claim_outcome_words{
    "open", "answered", "may-have-run", "not-run"};

inline constexpr std::array<std::string_view, 4> fold_status_words{
    "accepted", "rejected", "duplicate", "unknown"};

inline constexpr std::array<std::string_view, 7> order_outcome_words{
    "accepted",
    "stale fence",
    "out of memory",
    "not found",
    "refused",
    "not sent",
    "unknown"};

inline constexpr std::
    array<std::string_view, std::variant_size_v<record_payload>>
        record_kind_words{
            "unknown",
            "config_change",
            "router_join",
            "router_leave",
            "router_gone",
            "session_renew",
            "lease_acquire",
            "lease_release",
            "replica_decide",
            "replica_report",
            "claim_open",
            "claim_close",
            "request_suspect",
            "request_unblock",
            "checkpoint_chunk",
            "grant_open",
            "grant_model",
            "grant_settle",
            "operator_key_change"};

} // namespace detail

/// The following words appear in logs, the audit trail and `/state`.

/// @return `model`, `adapter`, ...; `entity` for an unknown kind.
constexpr std::string_view to_string(entity_kind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    return index < detail::entity_kind_words.size()
               ? detail::entity_kind_words[index]
               : detail::entity_kind_words[0];
}

constexpr std::string_view to_string(replica_state state)
{
    return detail::enumerator_word(detail::replica_state_words, state);
}

constexpr std::string_view to_string(claim_outcome outcome)
{
    return detail::enumerator_word(detail::claim_outcome_words, outcome);
}

constexpr std::string_view to_string(fold_status status)
{
    return detail::enumerator_word(detail::fold_status_words, status);
}

constexpr std::string_view to_string(order_outcome outcome)
{
    return detail::enumerator_word(detail::order_outcome_words, outcome);
}

constexpr std::string_view to_string(order_action action)
{
    return action == order_action::load ? "load" : "unload";
}

/// @return The name of a record's kind, as used in the audit trail.
constexpr std::string_view kind_name(const record_payload& payload)
{
    return detail::record_kind_words[payload.index()];
}

} // namespace roseworks
