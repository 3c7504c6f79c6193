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

constexpr std::string_view no_action = "No action needed.";

constexpr event_entry entries[] = {
    // clang-format off
    {router_started, info, "router_started",
     "The process has read its settings and is starting.",
     "data_centre, version, incarnation", no_action},
    {router_ready, info, "router_ready",
     "The router has applied the log up to its end and accepts requests.",
     "elapsed_ms, http, udp", no_action},
    {drain_started, info, "drain_started",
     "Shutdown was requested; the router accepts no new requests.",
     "in_flight, queued, signal", no_action},
    {drain_finished, info, "drain_finished",
     "No requests remain in flight.",
     "elapsed_ms, unfinished", no_action},
    {router_stopped, info, "router_stopped",
     "The process is exiting.",
     "status", no_action},
    {settings_refused, error, "settings_refused",
     "Reloaded keys or credentials are invalid; the previous ones stay in use.",
     "reason",
     "Correct the key or credentials file named in the event."},
    {drain_limit_reached, warn, "drain_limit_reached",
     "Requests still in flight at the drain limit were ended with an explicit "
     "error.",
     "unfinished, limit_ms",
     "Raise router.drain_limit_ms if the platform allows more time for a "
     "shutdown."},
    {listen_failed, error, "listen_failed",
     "The process cannot listen on a configured address.",
     "address, protocol, reason",
     "Find the process that uses the address, or correct the settings."},
    {internal_error, error, "internal_error",
     "An internal error was caught and contained.",
     "where, reason",
     "Report it together with the surrounding log lines."},
    {handover_unfinished, warn, "handover_unfinished",
     "Shutdown reached its time limit before the log confirmed that this "
     "router had left. Other routers take over its engine leases when these "
     "lapse, or when the VM list shows that the VM is gone.",
     "session, engines, log, limit_ms",
     "Check the log service, or the engine that does not answer an order."},
    {certificate_reloaded, info, "certificate_reloaded",
     "New connections use the reloaded certificate files of a section.",
     "section", no_action},
    {certificate_refused, error, "certificate_refused",
     "A certificate file cannot be used; new connections keep using the files "
     "read before.",
     "setting, file, reason",
     "Install a valid certificate and key; the files are read again every 5 s "
     "and on SIGHUP."},
    {handshake_failed, error, "handshake_failed",
     "A TLS connection to a server could not be established; nothing was sent "
     "to it. Reported once for each address and reason until a handshake "
     "succeeds.",
     "address, setting, file, reason",
     "Compare the server's certificate, its IP addresses and its validity "
     "period with the file of the setting; if no file is named, check whether "
     "the server speaks TLS."},

    {log_unreachable, warn, "log_unreachable",
     "The log does not answer. The router keeps serving from the state it has "
     "and makes no new decisions.",
     "reason, offset",
     "Check the log service if this persists."},
    {log_back, info, "log_back",
     "The log answers again.",
     "offset, elapsed_ms", no_action},
    {log_gap, error, "log_gap",
     "The log no longer keeps entries that this router has not read; the "
     "router rejoins from a checkpoint.",
     "wanted, first_offset",
     "Make the log keep entries for longer than a router may be offline."},
    {append_answer_lost, warn, "append_answer_lost",
     "The response to an append was lost; its records may be in the log.",
     "records", no_action},
    {record_rejected, info, "record_rejected",
     "A record conflicts with an earlier one and was rejected; every router "
     "rejects it identically.",
     "offset, kind, record_id, reason, winner",
     "No action needed, unless you made the change: see which record won and "
     "submit the change again."},
    {schema_unknown, warn, "schema_unknown",
     "This router cannot read the schema version or kind of a record. It keeps "
     "the last state that it could read and does not act on that entity.",
     "offset, kind, schema, entity",
     "Update this router."},
    {checkpoint_written, info, "checkpoint_written",
     "A checkpoint of the router state was appended to the log.",
     "offset, chunks, hash", no_action},
    {checkpoint_adopted, info, "checkpoint_adopted",
     "The state was loaded from a checkpoint.",
     "offset, bytes, hash, source", no_action},
    {checkpoint_diverged, error, "checkpoint_diverged",
     "A checkpoint differs from the state that this router computed; it was "
     "not adopted.",
     "offset, expected, found, author",
     "Run roseworks-audit on the log, replace the router that it reports as "
     "wrong, and report the fault."},
    {configuration_accepted, info, "configuration_accepted",
     "A change to the published configuration is in force.",
     "offset, kind, entity, revision, author", no_action},
    {record_malformed, error, "record_malformed",
     "A log entry cannot be decoded; every router skips it identically.",
     "offset, bytes",
     "Find out what else writes to the log."},
    {operator_record_refused, warn, "operator_record_refused",
     "An operator's record is not signed by an accepted key, or is a repeat; "
     "every router ignores it.",
     "offset, kind, record_id, reason, detail",
     "Ask its sender. Operators sign with roseworksctl --key-file."},
    {operator_keys_differ, error, "operator_keys_differ",
     "The operator keys decided in the log differ from those in "
     "operators.key_file. The keys in the log apply.",
     "problem",
     "Compare `roseworksctl show keys` with the file; docs/operations/keys.md."},
    {operator_keys_agree, info, "operator_keys_agree",
     "The operator keys decided in the log match operators.key_file again.",
     "", no_action},
    {operator_key_changed, info, "operator_key_changed",
     "An operator key was accepted or retired.",
     "offset, number, change, author", no_action},

    {lease_acquired, info, "lease_acquired",
     "This router may send orders to the engine.",
     "engine, offset", no_action},
    {lease_lost, warn, "lease_lost",
     "Another router took over the lease.",
     "engine, holder, offset", no_action},
    {lease_lapsed, warn, "lease_lapsed",
     "The lease could not be renewed in time; this router stops sending orders "
     "to the engine.",
     "engine, term_ms",
     "Check whether the log is unreachable or the VM was paused."},
    {lease_released, info, "lease_released",
     "This router released the lease.",
     "engine, offset", no_action},

    {replica_decided, info, "replica_decided",
     "A replica was assigned to an engine in the log; its memory is reserved.",
     "replica, servable, engine, memory_mib, offset, reason", no_action},
    {replica_loading, info, "replica_loading",
     "The replica holds a slot of the weight store and is loading.",
     "replica, servable, engine, offset, reason", no_action},
    {replica_ready, info, "replica_ready",
     "The replica is ready to serve.",
     "replica, servable, engine, offset, reason", no_action},
    {replica_unloading, info, "replica_unloading",
     "The replica accepts no new requests and is being unloaded.",
     "replica, servable, engine, offset, reason", no_action},
    {replica_gone, info, "replica_gone",
     "The replica is proven to be gone; its memory is free.",
     "replica, servable, engine, offset, proof", no_action},
    {replica_failed, warn, "replica_failed",
     "The replica could not be loaded, or failed.",
     "replica, servable, engine, offset, reason",
     "Check the engine's own log; if this repeats, withdraw the version."},
    {order_refused_stale_fence, warn, "order_refused_stale_fence",
     "The engine has seen a higher fencing token: this router's order came "
     "late and had no effect.",
     "engine, order_id, fence",
     "Check whether this VM was paused."},
    {order_answer_lost, warn, "order_answer_lost",
     "The response to an order was lost; the engine's state will show whether "
     "it took effect.",
     "engine, order_id, action, replica", no_action},
    {order_refused, warn, "order_refused",
     "The engine refused an order.",
     "engine, order_id, action, replica, reason",
     "On 401 correct engines.credentials_file; on 507 compare the engine's "
     "memory with its record."},
    {order_sent, debug, "order_sent",
     "An order was sent to an engine.",
     "engine, order_id, action, replica, fence", no_action},
    {grant_opened, info, "grant_opened",
     "A standing grant was opened on the engine, or its memory was restored: "
     "the lease holder of the engine may load the grant's models while the log "
     "is unreachable.",
     "engine, memory_mib, slots, term_ms, offset", no_action},
    {grant_closed, info, "grant_closed",
     "The engine's standing grant was closed; its memory is free.",
     "engine, offset", no_action},
    {grant_settled, info, "grant_settled",
     "The outcome for a granted model was decided: `used` makes it a replica, "
     "`freed` makes it available to other engines.",
     "replica, outcome, offset", no_action},
    {grant_used, info, "grant_used",
     "The log is unreachable, and this router ordered an engine to load a "
     "granted model that has requests.",
     "engine, servable, replica, order_id",
     "Check the log; see docs/operations/log-outage.md."},

    {peer_joined, info, "peer_joined",
     "Another router answers.",
     "session", no_action},
    {peer_gone, info, "peer_gone",
     "Another router left or was replaced.",
     "session, peer, reason", no_action},
    {datagram_rejected, warn, "datagram_rejected",
     "Datagrams were malformed, repeated or not authentic and were dropped; "
     "count covers the time since the previous such event, at most one in 10 "
     "s.",
     "address, reason, count",
     "Compare peers.mac_key_file across the routers; if it matches, find the "
     "sender."},
    {vm_leaving, info, "vm_leaving",
     "A VM is leaving; it is given no new work.",
     "vm, address, role", no_action},
    {vm_list_unreachable, warn, "vm_list_unreachable",
     "The VM list service does not answer; the last list read stays in use.",
     "",
     "Check the VM list service if this persists."},
    {vm_list_back, info, "vm_list_back",
     "The VM list service answers again.",
     "elapsed_ms", no_action},

    {engine_unreachable, warn, "engine_unreachable",
     "An engine or plain service does not answer; requests go elsewhere.",
     "engine, reason",
     "Check the backend server if this persists."},
    {engine_back, info, "engine_back",
     "The engine or plain service answers again.",
     "engine, elapsed_ms, incarnation", no_action},
    {connection_silent, warn, "connection_silent",
     "An open connection stopped responding while new connections work; it was "
     "replaced.",
     "address",
     "If this is frequent, lower traffic.connection_max_age_ms."},
    {late_answer_dropped, warn, "late_answer_dropped",
     "A response arrived late or for another request and was dropped.",
     "engine, request_id, got_request_id", no_action},
    {cache_events_missed, info, "cache_events_missed",
     "Cache events of an engine were missed; its prefix affinity is rebuilt "
     "from scratch.",
     "engine, wanted, got", no_action},

    {request_refused, debug, "request_refused",
     "A request was refused and did not run.",
     "request_id, servable, caller, priority, reason, status",
     no_action},
    {request_retried, info, "request_retried",
     "A request was sent to another backend server.",
     "request_id, servable, attempt", no_action},
    {stream_cut, warn, "stream_cut",
     "An engine's stream ended early; it was resumed or ended with an explicit "
     "error.",
     "request_id, servable, bytes, outcome, reason", no_action},
    {crash_suspected, warn, "crash_suspected",
     "A backend server died while it ran a request; requests with the same "
     "fingerprint run alone.",
     "fingerprint, engine", no_action},
    {fingerprint_blocked, error, "fingerprint_blocked",
     "Requests with this fingerprint crashed backend servers again and are "
     "temporarily refused.",
     "fingerprint",
     "Notify the caller and the owner of the model."},
    {fingerprint_unblocked, info, "fingerprint_unblocked",
     "Requests with this fingerprint are allowed again.",
     "fingerprint", no_action},
    {claim_lost, info, "claim_lost",
     "An idempotency key is held by an earlier request; this one did not run.",
     "request_id, caller, holder", no_action},
    {claim_unavailable, warn, "claim_unavailable",
     "A claim on an idempotency key cannot be decided; the request was refused "
     "and did not run.",
     "request_id, caller, reason",
     "Check the log service if this persists."},
    {caller_left, debug, "caller_left",
     "The caller closed its connection before the response was complete.",
     "request_id, servable, caller, bytes", no_action},
    {bad_request, debug, "bad_request",
     "A request was malformed or too large.",
     "request_id, address, status, reason", no_action},
    {request_served, info, "request_served",
     "A backend server's complete response was relayed on the first attempt. "
     "Sampled under load.",
     "request_id, route, servable, organisation, end, status, reason, server, "
     "software, first_software, last_event, resumes, origin, relay, server_limit, "
     "server_pause, server_leaving, framing, sends, objective_ms, wait_ms, first_ms, "
     "total_ms, events, unfinished_bytes",
     no_action},
    {request_ended, info, "request_ended",
     "A request ended in any other way, or was sent more than once.",
     "request_id, route, servable, organisation, end, status, reason, server, "
     "software, first_software, last_event, resumes, origin, relay, server_limit, "
     "server_pause, server_leaving, framing, sends, objective_ms, wait_ms, first_ms, "
     "total_ms, events, unfinished_bytes, target",
     "Trace the request by its id as shown in docs/OPERATIONS.md."},
    {lines_left_out, warn, "lines_left_out",
     "Log lines were not written: over_limit exceeded the limit of lines per "
     "second, and not_taken were not accepted in time by the reader of the "
     "output.",
     "over_limit, not_taken",
     "Check the reader of the log, or raise log.lines_per_second."},
    {deployment_in_force, info, "deployment_in_force",
     "A newer version of the operators' configuration is in force on this "
     "router.",
     "version, routes, services", no_action},
    {server_seen, info, "server_seen",
     "A backend server registered, restarted or changed its state.",
     "server, service, version, software, address, data_centre, state, born_ms",
     no_action},
    {server_gone, info, "server_gone",
     "A backend server is no longer in the registry.",
     "server", no_action},
    {store_lost, warn, "store_lost",
     "The platform's store does not answer. The data read so far stays in use; "
     "no updates are received.",
     "",
     "Check the platform's store, or the network."},
    {store_back, info, "store_back",
     "The platform's store answers again.",
     "away_ms", no_action},
    {settings_reloaded, info, "settings_reloaded",
     "The settings were read again on SIGHUP. Settings that need a restart "
     "keep their values.",
     "changed", no_action},
    {entry_malformed, error, "entry_malformed",
     "An entry that another process wrote to the platform's store cannot be "
     "read; it is treated as absent.",
     "topic, key, reason",
     "Find its writer. An unreadable configuration leaves the previous one in "
     "force."},
    {organisations_changed, info, "organisations_changed",
     "A configuration changed keys or limits of organisations. Dropped keys "
     "are identified by the first digits of their digest.",
     "version, keys_added, keys_dropped, limits_changed, dropped", no_action},
    {limit_reached, warn, "limit_reached",
     "This router accounts for the others and refused tokens of an "
     "organisation within the last second: used and refused are totals of that "
     "second over all routers that ask it, left is what remains of the limit, "
     "share_percent is the share of the routers that it hears from. With "
     "[quota] order_by_urgency also used and refused by class; repeats of a "
     "refused request that waits are not counted again.",
     "organisation, per_second, burst, used, refused, left, share_percent, "
     "used_urgent, refused_urgent, used_normal, refused_normal, "
     "used_deferrable, refused_deferrable",
     "Compare used with per_second: docs/OPERATIONS.md shows how."},
    {accountant_changed, info, "accountant_changed",
     "This router asks another router whether requests and retries are within "
     "the limits that all routers share. nobody: it asks none and uses its own "
     "share of each limit.",
     "accountant", no_action},
    {server_limited, info, "server_limited",
     "A backend server announced or changed a rate limit: the number of "
     "requests per minute over all routers.",
     "server, per_minute", no_action},
    {server_limit_ended, info, "server_limit_ended",
     "A backend server no longer announces a rate limit, is gone, or has "
     "restarted.",
     "server", no_action},
    {server_limit_reached, info, "server_limit_reached",
     "This router accounts for the others and refused permits to send to a "
     "rate-limited backend server within the last second: used and refused are "
     "totals of that second over all routers that ask it, share_percent is the "
     "share of the routers that it hears from.",
     "server, per_minute, used, refused, share_percent",
     "Compare used with per_minute: docs/OPERATIONS.md shows how."},
    {server_limit_malformed, warn, "server_limit_malformed",
     "A backend server announced a rate limit that is not a number of "
     "requests; it is ignored.",
     "server, value",
     "Find out what the server means by the value."},
    {store_read_failed, warn, "store_read_failed",
     "A read of the platform's store returned nothing; reported for the first, "
     "second, fourth, eighth such read in a row, and so on. End `unknown`: the "
     "time limit ended the read or its connection broke, after received_bytes "
     "bytes.",
     "topic, end, status, received_bytes, after_ms, in_row, behind_ms",
     "behind_ms is -1 when nothing is known to be missing. Check the store, or "
     "this VM's link."},
    {deployment_read, info, "deployment_read",
     "A record of the operators' configuration arrived, behind_ms after this "
     "router learned of it; -1 if it learned of it from this record.",
     "offset, bytes, source, behind_ms, failed_reads", no_action},
    {registry_listed, info, "registry_listed",
     "The complete registry of backend servers was received.",
     "servers, source, failed_reads", no_action},
    {retries_limited, warn, "retries_limited",
     "This router accounts for the others and refused retries of a service "
     "within the last second: used and refused are totals of that second over "
     "all routers that ask it, requests is the number of requests in the "
     "window of the limit, left is what remains of the limit, share_percent is "
     "the share of the routers that it hears from.",
     "service, requests, used, refused, left, share_percent",
     "Find out why the service's servers fail or refuse: docs/OPERATIONS.md "
     "shows how."},
    {run_broken, info, "run_broken",
     "A request was sent to a backend server and its run ended without a "
     "complete answer. Content is a hash of the request, the same at all "
     "routers and for each repetition; life identifies the server from its "
     "start to its end; end is connection, silence or caller; parts are hashes "
     "of the parts of the prompt that other requests may share.",
     "request_id, content, server, life, end, parts", no_action},
    {crash_recorded, warn, "crash_recorded",
     "A backend server ended while it ran a request; run_broken with the same "
     "life names the server. Evidence is refused, replaced, "
     "restarted, removed or unreachable, age_ms the time since the run broke; "
     "from names the router that told of it, and is empty at the router that "
     "sent the request.",
     "content, life, evidence, age_ms, from",
     "Several lines with one content: a request crashes servers. See "
     "docs/OPERATIONS.md."},
    {request_blocked, error, "request_blocked",
     "A request is refused for a time, because several backend servers ended "
     "while they ran it; where subject is prompt_part, each request with this "
     "part in its prompt. The first request after that time is a trial. Lives "
     "is the number of servers whose end counts against it, explained the "
     "number whose end all blocked parts explain.",
     "content, subject, lives, explained, for_ms",
     "Notify the caller and the owner of the service."},
    {request_cleared, info, "request_cleared",
     "A run of a request, or of one with a part in its prompt, ended well "
     "although backend servers had ended while they ran it, so it doesn't "
     "crash them. It isn't blocked.",
     "content, subject, lives, from", no_action},
    {servers_cut_off, warn, "servers_cut_off",
     "This router reaches most backend servers only through other routers: "
     "through_others can't be reached directly, directly can.",
     "through_others, directly",
     "Check the network between this VM and the backend servers."},
    {servers_reached, info, "servers_reached",
     "This router reaches most backend servers directly again.",
     "through_others, directly", no_action},
    {relay_refused, warn, "relay_refused",
     "A connection to the port for other routers was closed: it didn't come "
     "from a router, sent no valid request, or more than max were open.",
     "reason, open, max",
     "Check which process connects to this port."},
    {service_brittle, info, "service_brittle",
     "is_brittle 1: the servers of a service announce that they fall over when "
     "they have to reject more than max_rejections requests within a second, "
     "and the requests there are counted over all routers. 0: they no longer "
     "do.",
     "service, is_brittle, max_rejections", no_action},
    {connections_refused, warn, "connections_refused",
     "Callers' connections were closed unread within the last second, because "
     "as many were open as this router takes, or its event loop was late; such "
     "callers try another router.",
     "refused, open, max, overloaded",
     "Check whether the platform sends most connections to this VM."},
    {server_saturated, info, "server_saturated",
     "is_saturated 1: an engine's queue is long or full, and the requests there "
     "are counted over all routers, up to `places`. 0: its slots have not been "
     "full for a while.",
     "server, is_saturated, places", no_action},
    {server_leaving, info, "server_leaving",
     "is_leaving 1: a backend server leaves and gets no new requests, as it "
     "stated in an answer (source server), or as a router reports (source "
     "router). 0: the report expired or was refuted, or the server restarted.",
     "server, is_leaving, source", no_action},
    {server_paused, info, "server_paused",
     "A backend server rejected a request with 503 and asked this router for a "
     "pause: it gets no request of any model for pause_ms. 0: the pause ended "
     "early, since the server restarted.",
     "server, pause_ms", "Check whether the server has too little room."},
    {server_pause_malformed, warn, "server_pause_malformed",
     "The Retry-After of a backend server's 503 is not a number of seconds; it "
     "is ignored.",
     "server, value",
     "Find out what the server means by the value."},
    {server_replaced, info, "server_replaced",
     "Another server answered at the address of a backend server, so its process "
     "has ended. It gets no new requests for 30 s, or until it answers or "
     "restarts.",
     "server, address", no_action},
    {caller_limits_met, warn, "caller_limits_met",
     "Callers met limits at a listener (the setting with its address) within "
     "the last second (roseworks-router: the last 5 s): heads, chunk headers or trailers, and bodies that were too large; "
     "requests refused since the memory for requests was used up; requests "
     "that were still being sent and were ended to free memory; connections "
     "that stalled or were idle and were closed for another caller. None of "
     "these requests has run.",
     "listener, header, framing, body, memory, displaced, place, held_bytes, "
     "max_bytes",
     "Find out which callers send such requests; if they are ordinary ones, "
     "give the VM more memory."},
    {crashes_restored, info, "crashes_restored",
     "A router that has started has read from the platform's store which "
     "requests and parts of prompts were blocked: blocks is their number. "
     "crash_recorded and request_blocked name them, with from=archive.",
     "blocks", no_action},
    {answer_without_request, warn, "answer_without_request",
     "A backend server ended an answer that states no length before its "
     "machine had received the whole request. The answer isn't taken for "
     "complete.",
     "server, address, received_bytes",
     "If it repeats, find out why the server ends answers early."},
    {placement_owned, info, "placement_owned",
     "This router now owns placement and sends orders to the engines.",
     "fence", no_action},
    {placement_given_up, info, "placement_given_up",
     "This router no longer owns placement and sends no more orders to the "
     "engines.",
     "fence, reason", no_action},
    {engine_ordered, info, "engine_ordered",
     "An engine was ordered to load or unload a model or adapter.",
     "engine, action, model, adapter, source, fence, orders_taken, waiting, "
     "copies, copies_needed, free_slots",
     no_action},
    {engine_order_ended, info, "engine_order_ended",
     "The engine answered an order, or gave no answer.",
     "engine, action, model, adapter, outcome, after_ms", no_action},
    {engine_examined, info, "engine_examined",
     "An engine's report was read to determine what it holds.",
     "engine, outcome, orders_taken, busy", no_action},
    {engine_unreached, warn, "engine_unreached",
     "No connection to an engine could be opened; nothing is sent to it for "
     "for_ms.",
     "engine, for_ms",
     "No action needed, unless many routers report one engine that is running: "
     "then check the network between them."},
    {engine_pace_changed, info, "engine_pace_changed",
     "The estimated time that an engine takes for its work has come into "
     "another class: fast (below 80 % of the mean over the engines), usual, or "
     "slow (above 125 %). Only the owner of placement reports it.",
     "engine, percent, before, after",
     "Compare the engine's host with the others if it stays slow."},
    // clang-format on
};

constexpr bool numbers_are_ascending()
{
    return std::ranges::is_sorted(
        entries, std::ranges::less_equal(), &event_entry::id);
}

static_assert(
    numbers_are_ascending(), "event numbers must be unique and ascending");

struct chapter
{
    /// The first two digits of the four-digit event numbers.
    int number_prefix;
    std::string_view title;
};

constexpr chapter chapters[] = {
    {10, "The process"},
    {11, "The log and the state derived from it"},
    {12, "Leases"},
    {13, "Replicas and orders to engines"},
    {14, "Peers and the VM list"},
    {15, "Engines and plain services"},
    {16, "Requests"},
    {17, "Forwarding on the operators' routes"},
    {18, "Placement by a single owner"},
};

constexpr std::string_view introduction = R"(# Events

<!-- Generated: `events-reference > docs/EVENTS.md`. -->

The events that the programs write. Each kind of event has a unique number that
is never reused. In text format a line is
`<UTC time> <LEVEL> <VM> RW<number> <name> <field>=<value> ...`; in JSON format
it is an object with `time`, `level`, `vm`, `event`, `name`, `text` and
`fields`. External values are escaped, contain no line breaks and are truncated
at 512 bytes. The section `[logging]` of the settings selects the lowest level,
the format and the destination. An event carries those of its fields whose
values are known. Fields ending in `_ms` are in milliseconds, those ending in
`_mib` in MiB.

Decisions, their authors and their reasons are recorded in the platform's log,
not in events; `roseworks-audit` lists them.
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
            if (entry.number() / numbers_per_chapter == each.number_prefix)
                write_entry(out, entry);
        }
    }
}

} // namespace roseworks::events
