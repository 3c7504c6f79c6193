#pragma once

#include "core/serving/organisation.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// Whether a request may be retried when its outcome isn't known.
enum class request_kind : std::uint8_t
{
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs at most once
    streaming       ///< at most once, unless the stream can be resumed
};

/// One of the services that share the requests of a route.
struct service_share
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const service_share&) const = default;
};

/// A route: requests to one host below one path prefix.
struct path_route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    duration timeout{};       ///< time limit of a request
    duration objective{};     ///< target time for the answer or the first event
    duration max_event_gap{}; ///< longest gap between events of a stream
    std::uint8_t rank = 0;    ///< 0 is the highest priority
    std::uint32_t max_attempts = 1; ///< backend servers tried per request
    bool resumable = false;         ///< a stream may resume on another server
    bool allow_anonymous = false;   ///< callers need no API key
    std::vector<service_share> services;

    /** @return The longest time that a caller waits for a stream's first event.

        Callers abandon a stream after this time, whatever its time limit. A
        request that waits longer is useless to its caller, who could have got a
        refusal with a retry time instead.
    */
    duration first_event_timeout() const;

    /// @return The longest time that a request may wait before it is sent. It
    ///         is shorter than the caller's wait, which began earlier. For a
    ///         stream that can resume, the caller's wait restarts with each
    ///         event, so only its time limit counts.
    duration max_queue_time() const;

    /// @return Whether a request may run again after one that may have run.
    bool repeatable() const
    {
        return this->kind == request_kind::idempotent ||
               (this->kind == request_kind::streaming && this->resumable);
    }

    bool operator==(const path_route&) const = default;
};

/// A base model that the engines of a service can load.
struct model_profile
{
    std::string name;
    double memory_mb = 0;
    duration load_from_store{};
    duration load_from_disk{};
    duration load_from_memory{};
    std::uint32_t adapters = 0; ///< number of adapters, named a1, a2, ...
    double adapter_mb = 0;

    bool operator==(const model_profile&) const = default;
};

/// Properties that all engines of a service share.
struct engine_profile
{
    std::uint32_t slots = 1;   ///< concurrent requests
    double memory_mb = 0;      ///< accelerator memory for weights and adapters
    double host_memory_mb = 0; ///< host memory for copies of weights
    std::uint32_t adapter_slots = 0;
    double store_loads_per_second = 0; ///< total of all engines
    std::vector<model_profile> models;

    bool operator==(const engine_profile&) const = default;
};

/// A service that consists of model engines or of plain backend servers.
struct service_profile
{
    std::string name;
    std::uint32_t max_connections = 0;    ///< from all callers to one server
    std::optional<engine_profile> engine; ///< empty: a plain service

    bool operator==(const service_profile&) const = default;
};

/// Size and time limits for requests of callers.
struct caller_bounds
{
    std::size_t max_header_bytes = std::size_t(16) << 10;
    std::size_t max_body_bytes = std::size_t(4) << 20;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);

    bool operator==(const caller_bounds&) const = default;
};

/// One complete version of the operators' configuration.
struct deployment
{
    std::uint64_t version = 0;
    std::vector<path_route> routes;
    std::vector<service_profile> services;
    caller_bounds callers;
    /// Empty: callers need no API key.
    std::optional<std::vector<organisation>> organisations;

    /// @return The service with this name, or null.
    const service_profile* find_service(std::string_view name) const;

    bool operator==(const deployment&) const = default;
};

} // namespace roseworks
