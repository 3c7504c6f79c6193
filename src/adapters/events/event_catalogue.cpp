#include "adapters/events/event_catalogue.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ostream>

namespace roseworks::events
{

namespace
{

using enum event_id;
using enum event_level;

constexpr std::string_view nothing = "Nothing.";

constexpr event_entry entries[] = {
    // clang-format off
    {router_started, info, "router_started",
     "The process has read its settings and starts.",
     "data_centre, version, incarnation", nothing},
    {router_ready, info, "router_ready",
     "The log is folded to its end; the router takes requests.",
     "elapsed_ms, http, udp", nothing},
    {drain_started, info, "drain_started",
     "A shutdown was asked for: no new request is taken.",
     "in_flight, queued, signal", nothing},
    {drain_finished, info, "drain_finished",
     "No request is in flight any more.",
     "elapsed_ms, unfinished", nothing},
    {router_stopped, info, "router_stopped",
     "The process ends.",
     "status", nothing},
    {settings_refused, error, "settings_refused",
     "Keys that were read anew cannot be used; the old ones stay in use.",
     "reason",
     "Correct the file of keys or credentials that the line names."},
    {drain_limit_reached, warn, "drain_limit_reached",
     "Requests were still in flight at the drain limit and were ended with an "
     "explicit error.",
     "unfinished, limit_ms",
     "Raise router.drain_limit_ms if the platform leaves more time."},
    {listen_failed, error, "listen_failed",
     "An address of the settings cannot be listened on.",
     "address, protocol, reason",
     "See which process holds the address, or correct the settings."},
    {internal_error, error, "internal_error",
     "A fault of the program was contained.",
     "where, reason",
     "Report it with the lines around it."},
    {handover_unfinished, warn, "handover_unfinished",
     "A shutdown ended at its limit before the log said that this router had "
     "left. Others take the engines' leases once these have lapsed or the VM "
     "list shows the VM gone.",
     "session, engines, log, limit_ms",
     "See to the log service, or to the engine that does not answer an order."},
    {certificate_reloaded, info, "certificate_reloaded",
     "New connections use what the certificate files of a section now hold.",
     "section", nothing},
    {certificate_refused, error, "certificate_refused",
     "A certificate file can't be used; new connections still use what was read "
     "before.",
     "setting, file, reason",
     "Put a certificate and its key there; they are read again every 5 s and on "
     "SIGHUP."},
    {handshake_failed, error, "handshake_failed",
     "No TLS connection to a server came about; nothing was sent to it. Told "
     "once for each address and reason until one succeeds.",
     "address, setting, file, reason",
     "Compare the server's certificate, its IP numbers and its times with the "
     "file of the setting; with no file named, see whether it speaks TLS."},

    {log_unreachable, warn, "log_unreachable",
     "The log does not answer. Serving goes on from the folded state; nothing "
     "new is decided.",
     "reason, offset",
     "See to the log service if it lasts."},
    {log_back, info, "log_back",
     "The log answers again.",
     "offset, elapsed_ms", nothing},
    {log_gap, error, "log_gap",
     "The log has forgotten entries this router has not read; it rejoins from "
     "a checkpoint.",
     "wanted, first_offset",
     "See that the log keeps entries longer than a router may be away."},
    {append_answer_lost, warn, "append_answer_lost",
     "The answer to an append was lost; its records may be in the log.",
     "records", nothing},
    {record_rejected, info, "record_rejected",
     "A record lost against an earlier one; every router rejects it alike.",
     "offset, kind, record_id, reason, winner",
     "Nothing, unless it is a change of yours: see who won and send it anew."},
    {schema_unknown, warn, "schema_unknown",
     "A record has a schema version or kind this router cannot read. It keeps "
     "the last it could and does not act on that entity.",
     "offset, kind, schema, entity",
     "Update this router."},
    {checkpoint_written, info, "checkpoint_written",
     "A checkpoint of the folded state was appended.",
     "offset, chunks, hash", nothing},
    {checkpoint_adopted, info, "checkpoint_adopted",
     "The state was loaded from a checkpoint.",
     "offset, bytes, hash, source", nothing},
    {checkpoint_diverged, error, "checkpoint_diverged",
     "A checkpoint disagrees with this router's own fold; it is not adopted.",
     "offset, expected, found, author",
     "Run roseworks-audit over the log, replace the router it finds wrong and "
     "report it."},
    {configuration_accepted, info, "configuration_accepted",
     "A change of the published configuration is in force.",
     "offset, kind, entity, revision, author", nothing},
    {record_malformed, error, "record_malformed",
     "An entry of the log cannot be decoded; every router skips it alike.",
     "offset, bytes",
     "Find what else writes to the log."},
    {operator_record_refused, warn, "operator_record_refused",
     "An operator's record isn't signed by an accepted key, or came again; no "
     "router counts it.",
     "offset, kind, record_id, reason, detail",
     "Ask who sent it. An operator signs with roseworksctl --key-file."},
    {operator_keys_differ, error, "operator_keys_differ",
     "The operators' keys that the log decided aren't those of "
     "operators.key_file. The decided ones count.",
     "problem",
     "Compare `roseworksctl show keys` with the file; docs/operations/keys.md."},
    {operator_keys_agree, info, "operator_keys_agree",
     "The operators' keys agree with operators.key_file again.",
     "", nothing},
    {operator_key_changed, info, "operator_key_changed",
     "An operators' key was accepted or retired.",
     "offset, number, change, author", nothing},

    {lease_acquired, info, "lease_acquired",
     "This router may order the engine.",
     "engine, offset", nothing},
    {lease_lost, warn, "lease_lost",
     "Another router took the lease.",
     "engine, holder, offset", nothing},
    {lease_lapsed, warn, "lease_lapsed",
     "The lease could not be renewed in time; orders to the engine stop.",
     "engine, term_ms",
     "See whether the log is away or the VM was paused."},
    {lease_released, info, "lease_released",
     "This router gave the lease back.",
     "engine, offset", nothing},

    {replica_decided, info, "replica_decided",
     "A replica's place was decided in the log; its memory is reserved.",
     "replica, servable, engine, memory_mib, offset, reason", nothing},
    {replica_loading, info, "replica_loading",
     "The replica holds a slot of the weight store and loads.",
     "replica, servable, engine, offset, reason", nothing},
    {replica_ready, info, "replica_ready",
     "The replica serves.",
     "replica, servable, engine, offset, reason", nothing},
    {replica_unloading, info, "replica_unloading",
     "The replica takes no new requests and is being unloaded.",
     "replica, servable, engine, offset, reason", nothing},
    {replica_gone, info, "replica_gone",
     "The replica is proven gone; its memory is free.",
     "replica, servable, engine, offset, proof", nothing},
    {replica_failed, warn, "replica_failed",
     "The replica could not be loaded or broke.",
     "replica, servable, engine, offset, reason",
     "See the engine's own log; if it goes on, withdraw the version."},
    {order_refused_stale_fence, warn, "order_refused_stale_fence",
     "The engine has seen a higher fencing number: this router's order was "
     "late and did nothing.",
     "engine, order_id, fence",
     "See whether this VM was paused."},
    {order_answer_lost, warn, "order_answer_lost",
     "The answer to an order was lost; the engine's state will tell.",
     "engine, order_id, action, replica", nothing},
    {order_refused, warn, "order_refused",
     "The engine refused an order.",
     "engine, order_id, action, replica, reason",
     "On 401 correct engines.credentials_file; on 507 compare the engine's "
     "memory with its record."},
    {order_sent, debug, "order_sent",
     "An order went to an engine.",
     "engine, order_id, action, replica, fence", nothing},
    {grant_opened, info, "grant_opened",
     "A standing grant was opened on the engine, or its memory put back: its "
     "lease holder may load models of it while the log is away.",
     "engine, memory_mib, slots, term_ms, offset", nothing},
    {grant_closed, info, "grant_closed",
     "The engine's standing grant was closed; its memory is free.",
     "engine, offset", nothing},
    {grant_settled, info, "grant_settled",
     "What became of a granted model: `used` makes it a replica, `freed` lets "
     "other engines have it.",
     "replica, outcome, offset", nothing},
    {grant_used, info, "grant_used",
     "The log is away and this router ordered a granted model that is wanted.",
     "engine, servable, replica, order_id",
     "See to the log; docs/operations/log-outage.md."},

    {peer_joined, info, "peer_joined",
     "Another router answers.",
     "session", nothing},
    {peer_gone, info, "peer_gone",
     "Another router left or was replaced.",
     "session, peer, reason", nothing},
    {datagram_rejected, warn, "datagram_rejected",
     "Datagrams were malformed, repeated or not authentic and were dropped; "
     "count is since the last such line, at most one in 10 s.",
     "address, reason, count",
     "Compare peers.mac_key_file of the routers; else find the sender."},
    {vm_leaving, info, "vm_leaving",
     "A VM is leaving; it gets no new work.",
     "vm, address, role", nothing},
    {vm_list_unreachable, warn, "vm_list_unreachable",
     "The VM list does not answer; the last one read stays in use.",
     "",
     "See to the VM list's service if it lasts."},
    {vm_list_back, info, "vm_list_back",
     "The VM list answers again.",
     "elapsed_ms", nothing},

    {engine_unreachable, warn, "engine_unreachable",
     "An engine or plain service does not answer; requests go elsewhere.",
     "engine, reason",
     "See to the backend server if it lasts."},
    {engine_back, info, "engine_back",
     "The engine or plain service answers again.",
     "engine, elapsed_ms, incarnation", nothing},
    {connection_silent, warn, "connection_silent",
     "An open connection went silent while new ones work; it was replaced.",
     "address",
     "If frequent, lower traffic.connection_max_age_ms."},
    {late_answer_dropped, warn, "late_answer_dropped",
     "An answer came late or for another request and was dropped.",
     "engine, request_id, got_request_id", nothing},
    {cache_events_missed, info, "cache_events_missed",
     "Cache events of an engine are missing; prefix affinity starts anew.",
     "engine, wanted, got", nothing},

    {request_refused, debug, "request_refused",
     "A request was refused; it did not run.",
     "request_id, servable, caller, priority, reason, status",
     nothing},
    {request_retried, info, "request_retried",
     "A request was sent to another backend server.",
     "request_id, servable, attempt", nothing},
    {stream_cut, warn, "stream_cut",
     "An engine's stream ended early; it was resumed or ended with an explicit "
     "error.",
     "request_id, servable, bytes, outcome, reason", nothing},
    {crash_suspected, warn, "crash_suspected",
     "A backend server died while it ran a request; its like runs alone.",
     "fingerprint, engine", nothing},
    {fingerprint_blocked, error, "fingerprint_blocked",
     "Requests with this fingerprint crashed backend servers again and are "
     "refused for a time.",
     "fingerprint",
     "Tell the caller and the model's owner."},
    {fingerprint_unblocked, info, "fingerprint_unblocked",
     "Requests with this fingerprint are allowed again.",
     "fingerprint", nothing},
    {claim_lost, info, "claim_lost",
     "An idempotency key is held by an earlier request; this one did not run.",
     "request_id, caller, holder", nothing},
    {claim_unavailable, warn, "claim_unavailable",
     "A claim on an idempotency key cannot be decided; the request was refused "
     "as not run.",
     "request_id, caller, reason",
     "See to the log service if it lasts."},
    {caller_left, debug, "caller_left",
     "The caller closed its connection before the answer ended.",
     "request_id, servable, caller, bytes", nothing},
    {bad_request, debug, "bad_request",
     "A request was malformed or too large.",
     "request_id, address, status, reason", nothing},
    {request_served, info, "request_served",
     "A backend server's whole answer was passed on, at its first sending. "
     "Sampled under load.",
     "request_id, route, servable, organisation, end, status, reason, server, "
     "server_limit, sends, objective_ms, wait_ms, first_ms, total_ms, events",
     nothing},
    {request_ended, info, "request_ended",
     "A request ended in another way, or was sent more than once.",
     "request_id, route, servable, organisation, end, status, reason, server, "
     "server_limit, sends, objective_ms, wait_ms, first_ms, total_ms, events, target",
     "Follow the request's id; docs/OPERATIONS.md shows how."},
    {lines_left_out, warn, "lines_left_out",
     "So many lines were not written: over the limit of lines a second, or the "
     "reader of the output did not keep up.",
     "over_limit, not_taken",
     "See to the reader of the log, or raise log.lines_per_second."},
    {deployment_in_force, info, "deployment_in_force",
     "A newer version of the operators' configuration is in force here.",
     "version, routes, services", nothing},
    {server_seen, info, "server_seen",
     "A backend server registered, started anew, or changed its state.",
     "server, service, address, data_centre, state, born_ms", nothing},
    {server_gone, info, "server_gone",
     "A backend server is gone from the registry.",
     "server", nothing},
    {store_lost, warn, "store_lost",
     "The platform's store does not answer. What is known goes on counting; "
     "nothing new is learnt.",
     "", "See to the platform's store, or to the network."},
    {store_back, info, "store_back",
     "The platform's store answers again.",
     "away_ms", nothing},
    {settings_reloaded, info, "settings_reloaded",
     "SIGHUP: the settings were read again. What needs a restart stays.",
     "changed", nothing},
    {entry_malformed, error, "entry_malformed",
     "What another writer left in the platform's store cannot be read; it counts "
     "as not there.",
     "topic, key, reason",
     "Find who writes it. A configuration that cannot be read leaves the one "
     "before in force."},
    {organisations_changed, info, "organisations_changed",
     "A configuration changed keys or limits of organisations. Dropped keys are "
     "named by the first digits of their digest.",
     "version, keys_added, keys_dropped, limits_changed, dropped", nothing},
    {limit_reached, warn, "limit_reached",
     "This router counts for the others, and refused tokens of an organisation "
     "within the last second: used and refused are sums of that second over "
     "all routers that ask it, left what the limit has room for, share_percent "
     "the part of the routers that it hears.",
     "organisation, per_second, burst, used, refused, left, share_percent",
     "Compare used with per_second: docs/OPERATIONS.md shows how."},
    {accountant_changed, info, "accountant_changed",
     "This router asks another one whether requests are within their "
     "organisations' limits; nobody: it uses its own part of each.",
     "accountant", nothing},
    {server_limited, info, "server_limited",
     "A backend server names a rate limit, or another one than before: so many "
     "requests a minute, over all routers.",
     "server, per_minute", nothing},
    {server_limit_ended, info, "server_limit_ended",
     "A backend server names no rate limit any more, is gone, or was started "
     "anew.",
     "server", nothing},
    {server_limit_reached, info, "server_limit_reached",
     "This router counts for the others, and refused permits to send to a "
     "limited backend server within the last second: used and refused are sums "
     "of that second over all routers that ask it, share_percent the part of "
     "the routers that it hears.",
     "server, per_minute, used, refused, share_percent",
     "Compare used with per_minute: docs/OPERATIONS.md shows how."},
    {server_limit_malformed, warn, "server_limit_malformed",
     "A backend server named a rate limit that is no number of requests; it "
     "counts as not named.",
     "server, value",
     "Find out what the server means."},
    {store_read_failed, warn, "store_read_failed",
     "A read of the platform's store gave nothing; told of the first, second, "
     "fourth, eighth such read in a row. Unknown: its time limit ended it, or "
     "its connection broke, after so many bytes.",
     "topic, end, status, received_bytes, after_ms, in_row, behind_ms",
     "behind_ms of -1: nothing is known to be missing. See to the store, or to "
     "this VM's link."},
    {deployment_read, info, "deployment_read",
     "A record of the operators' configuration came: behind_ms after this "
     "router heard of it, -1 where it heard of it by this.",
     "offset, bytes, source, behind_ms, failed_reads", nothing},
    {registry_listed, info, "registry_listed",
     "The whole registry of backend servers came.",
     "servers, source, failed_reads", nothing},
    {placement_owned, info, "placement_owned",
     "This router orders the engines from now on.",
     "fence", nothing},
    {placement_given_up, info, "placement_given_up",
     "This router orders the engines no longer.",
     "fence, reason", nothing},
    {engine_ordered, info, "engine_ordered",
     "An engine was told to load or unload.",
     "engine, action, model, adapter, source, fence, orders_taken, waiting",
     nothing},
    {engine_order_ended, info, "engine_order_ended",
     "The engine's answer to an order, or none.",
     "engine, action, model, adapter, outcome, after_ms", nothing},
    {engine_examined, info, "engine_examined",
     "An engine's report was read to learn what it holds.",
     "engine, outcome, orders_taken, busy", nothing},
    {engine_unreached, warn, "engine_unreached",
     "No connection to an engine could be opened; it gets nothing for a while.",
     "engine, for_ms",
     "Nothing, unless many routers say so of one engine that runs: look at the "
     "network between them."},
    // clang-format on
};

constexpr bool numbers_rise()
{
    return std::ranges::is_sorted(
        entries, std::ranges::less_equal(), &event_entry::id);
}

static_assert(numbers_rise(), "an event number stands twice or out of order");

struct chapter
{
    /// The first two digits of its events' numbers.
    int hundred;
    std::string_view title;
};

constexpr chapter chapters[] = {
    {10, "The process"},
    {11, "The log and the folded state"},
    {12, "Leases"},
    {13, "Replicas and orders to engines"},
    {14, "Peers and the VM list"},
    {15, "Engines and plain services"},
    {16, "Requests"},
    {17, "Forwarding on the operators' routes"},
    {18, "Placement by orders of one owner"},
};

constexpr std::string_view introduction = R"(# Events

<!-- Generated: `events-reference > docs/EVENTS.md`. -->

What the programs write to their log. Each kind of event has a number that is
never given to another. As text a line is
`<UTC time> <LEVEL> <VM> RW<number> <name> <field>=<value> ...`; as JSON it is
an object with `time`, `level`, `vm`, `event`, `name`, `text` and `fields`.
Values from outside are escaped, kept on their line and cut at 512 bytes. Which
levels are written, how and where is in the section `[logging]` of the
settings. An event carries those of its fields that are known. Fields ending in
`_ms` are milliseconds, in `_mib` MiB.

What was decided, by whom and why is not here but in the log itself:
`roseworks-audit` shows that trail.
)";

void write_entry(std::ostream& out, const event_entry& entry)
{
    out << "| RW" << entry.number() << " | `" << entry.name << "` | "
        << to_string(entry.level) << " | " << entry.text << " | "
        << entry.fields << " | " << entry.remedy << " |\n";
}

} // namespace

bool event_entry::has_field(std::string_view field) const
{
    constexpr std::string_view separator = ", ";
    std::string_view rest = this->fields;
    while (!rest.empty())
    {
        const auto end = rest.find(separator);
        if (rest.substr(0, end) == field)
            return true;
        if (end == std::string_view::npos)
            return false;
        rest.remove_prefix(end + separator.size());
    }
    return false;
}

std::span<const event_entry> catalogue()
{
    return entries;
}

const event_entry* find_entry(event_id id)
{
    const auto found = std::ranges::lower_bound(
        entries, id, std::ranges::less(), &event_entry::id);
    if (found == std::end(entries) || found->id != id)
        return nullptr;
    return &*found;
}

std::string_view to_string(event_level level)
{
    switch (level)
    {
    case event_level::debug:
        return "debug";
    case event_level::info:
        return "info";
    case event_level::warn:
        return "warn";
    case event_level::error:
        return "error";
    }
    return "";
}

void write_catalogue(std::ostream& out)
{
    constexpr int numbers_per_chapter = 100;
    out << introduction;
    for (const chapter& each : chapters)
    {
        out << "\n## " << each.title << "\n\n"
            << "| number | name | level | what happened | fields | what to do "
               "|\n|---|---|---|---|---|---|\n";
        for (const event_entry& entry : entries)
        {
            if (entry.number() / numbers_per_chapter == each.hundred)
                write_entry(out, entry);
        }
    }
}

} // namespace roseworks::events
