#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <span>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

namespace roseworks
{

/// Severity of an event, in ascending order.
enum class event_level : std::uint8_t
{
    debug,
    info,
    warn,
    error
};

/// The numbered events. The number is the enumerator's value and is printed as
/// `RW<number>`. Numbers are never reused; 1105, 1309, 1402 and 1603 belonged
/// to events that were never emitted. The catalogue entry of each event (level,
/// text, fields, remedy) is in adapters/events/event_catalogue and in
/// docs/EVENTS.md.
enum class event_id : std::uint16_t
{
    // 10xx: the process.
    router_started = 1001,
    router_ready = 1002,
    drain_started = 1003,
    drain_finished = 1004,
    router_stopped = 1005,
    settings_refused = 1006,
    drain_limit_reached = 1007,
    listen_failed = 1008,
    internal_error = 1009,
    handover_unfinished = 1010,
    certificate_reloaded = 1011,
    certificate_refused = 1012,
    handshake_failed = 1013,

    // 11xx: the log and the state built from it.
    log_unreachable = 1101,
    log_back = 1102,
    log_gap = 1103,
    append_answer_lost = 1104,
    record_rejected = 1106,
    schema_unknown = 1107,
    checkpoint_written = 1108,
    checkpoint_adopted = 1109,
    checkpoint_diverged = 1110,
    configuration_accepted = 1111,
    record_malformed = 1112,
    operator_record_refused = 1113,
    operator_keys_differ = 1114,
    operator_keys_agree = 1115,
    operator_key_changed = 1116,

    // 12xx: leases.
    lease_acquired = 1201,
    lease_lost = 1202,
    lease_lapsed = 1203,
    lease_released = 1204,

    // 13xx: replicas and orders to engines.
    replica_decided = 1301,
    replica_loading = 1302,
    replica_ready = 1303,
    replica_unloading = 1304,
    replica_gone = 1305,
    replica_failed = 1306,
    order_refused_stale_fence = 1307,
    order_answer_lost = 1308,
    order_refused = 1310,
    order_sent = 1311,
    grant_opened = 1312,
    grant_closed = 1313,
    grant_settled = 1314,
    grant_used = 1315,

    // 14xx: peers and the VM list.
    peer_joined = 1401,
    peer_gone = 1403,
    datagram_rejected = 1404,
    vm_leaving = 1405,
    vm_list_unreachable = 1406,
    vm_list_back = 1407,

    // 15xx: engines and services without engines.
    engine_unreachable = 1501,
    engine_back = 1502,
    connection_silent = 1503,
    late_answer_dropped = 1504,
    cache_events_missed = 1505,

    // 16xx: requests.
    request_refused = 1601,
    request_retried = 1602,
    stream_cut = 1604,
    crash_suspected = 1605,
    fingerprint_blocked = 1606,
    fingerprint_unblocked = 1607,
    claim_lost = 1608,
    claim_unavailable = 1609,
    caller_left = 1610,
    bad_request = 1611,

    // 17xx: forwarding on the routes that operators configure.
    request_served = 1701,
    request_ended = 1702,
    lines_left_out = 1703,
    deployment_in_force = 1710,
    server_seen = 1711,
    server_gone = 1712,
    store_lost = 1713,
    store_back = 1714,
    settings_reloaded = 1715,
    entry_malformed = 1716,
    organisations_changed = 1717,
    limit_reached = 1718,
    accountant_changed = 1719,
    server_limited = 1720,
    server_limit_ended = 1721,
    server_limit_reached = 1722,
    server_limit_malformed = 1723,
    store_read_failed = 1724,
    deployment_read = 1725,
    registry_listed = 1726,
    retries_limited = 1727,
    run_broken = 1728,
    crash_recorded = 1729,
    request_blocked = 1730,
    request_cleared = 1731,
    servers_cut_off = 1732,
    servers_reached = 1733,
    relay_refused = 1734,
    service_brittle = 1735,
    connections_refused = 1736,
    server_saturated = 1737,
    server_leaving = 1738,
    server_paused = 1739,
    server_pause_malformed = 1740,
    server_replaced = 1741,
    caller_limits_met = 1742,
    crashes_restored = 1743,
    answer_without_request = 1744,

    // 18xx: placement by the orders of a single owner.
    placement_owned = 1801,
    placement_given_up = 1802,
    engine_ordered = 1803,
    engine_order_ended = 1804,
    engine_examined = 1805,
    engine_unreached = 1806,
    engine_pace_changed = 1810
};

/// A named value of an event: text or a signed 64-bit integer. The text isn't
/// copied and has to stay valid until `event_sink::emit` returns.
struct event_field
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t> value;

    event_field(std::string_view field_name, std::string_view text)
        : name(field_name)
        , value(text)
    {
    }

    /// Unsigned values above the signed range saturate at its maximum. Pass
    /// hashes as hexadecimal text.
    template <std::integral Integer>
    event_field(std::string_view field_name, Integer number)
        : name(field_name)
        , value(saturate(number))
    {
    }

private:
    template <std::integral Integer>
    static std::int64_t saturate(Integer number)
    {
        if constexpr (std::is_unsigned_v<Integer> && sizeof(Integer) == 8)
        {
            constexpr auto limit = std::numeric_limits<std::int64_t>::max();
            if (number > static_cast<std::uint64_t>(limit))
                return limit;
        }
        return static_cast<std::int64_t>(number);
    }
};

/// One occurrence of an event. Doesn't own the fields.
struct event_record
{
    event_id id;
    std::span<const event_field> fields;
};

/// Port: destination of the router's numbered events. Implementations are
/// thread-safe, don't throw, and keep no reference to the record.
class event_sink
{
public:
    virtual ~event_sink() = default;

    /// Writes one event.
    /// @param record the event; valid only during the call.
    virtual void emit(const event_record& record) noexcept = 0;

    /// Shorthand: `events.report(event_id::lease_lapsed, {{"engine", name}})`.
    /// @param id     the event.
    /// @param fields its values, named as in the catalogue.
    void report(event_id id, std::initializer_list<event_field> fields = {})
    {
        this->emit({id, std::span(fields.begin(), fields.size())});
    }
};

} // namespace roseworks
