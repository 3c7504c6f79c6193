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

/// What may be done again when the outcome of a request isn't known.
enum class repetition : std::uint8_t
{
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs once at most
    streaming       ///< once at most, unless the stream can be resumed
};

/// One of the services that a route's requests are split over.
struct service_share
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const service_share&) const = default;
};

/// Requests of one host below one path.
struct path_route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    repetition kind = repetition::non_idempotent;
    duration timeout{};     ///< the longest that a request is kept waiting
    duration objective{};   ///< an answer, or a stream's first event, by then
    duration longest_gap{}; ///< between a stream's events
    std::uint8_t rank = 0;  ///< 0 is the most urgent
    std::uint32_t max_attempts = 1; ///< backend servers for one request
    bool resumable = false;         ///< a stream may go on elsewhere
    bool keyless = false;           ///< callers without a key may use it
    std::vector<service_share> services;

    /** @return How long a caller waits for a stream's first event at most.

        Callers abandon a stream then, whatever its time limit: a request that
        waits for longer is worth nothing, and was kept from an answer that
        tells when to come back.
    */
    duration patience() const;

    /// @return How long a request may wait before it is sent: less than the
    ///         caller's patience, whose clock began earlier. A stream that may
    ///         go on elsewhere waits anew after each event.
    duration longest_wait() const;

    /// @return Whether a request may run again after one that may have run.
    bool repeatable() const
    {
        return this->kind == repetition::idempotent ||
               (this->kind == repetition::streaming && this->resumable);
    }

    bool operator==(const path_route&) const = default;
};

/// A base model that the engines of a service may hold.
struct model_profile
{
    std::string name;
    double memory_mb = 0;
    duration load_from_store{};
    duration load_from_disk{};
    duration load_from_memory{};
    std::uint32_t adapters = 0; ///< named a1, a2, ...
    double adapter_mb = 0;

    bool operator==(const model_profile&) const = default;
};

/// What is the same for all engines of a service.
struct engine_profile
{
    std::uint32_t slots = 1;   ///< requests that run at once
    double memory_mb = 0;      ///< for weights and adapters together
    double host_memory_mb = 0; ///< for copies of weights
    std::uint32_t adapter_places = 0;
    double store_loads_per_second = 0; ///< over all engines
    std::vector<model_profile> models;

    bool operator==(const engine_profile&) const = default;
};

/// A service: model engines, or plain backend servers.
struct service_profile
{
    std::string name;
    std::uint32_t max_connections = 0;    ///< of all callers to one server
    std::optional<engine_profile> engine; ///< empty: a plain service

    bool operator==(const service_profile&) const = default;
};

/// What callers may send, and how long they may take.
struct caller_bounds
{
    std::size_t max_header_bytes = std::size_t(16) << 10;
    std::size_t max_body_bytes = std::size_t(4) << 20;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);

    bool operator==(const caller_bounds&) const = default;
};

/// One version of the operators' configuration, whole.
struct deployment
{
    std::uint64_t version = 0;
    std::vector<path_route> routes;
    std::vector<service_profile> services;
    caller_bounds callers;
    /// Empty: callers need no key.
    std::optional<std::vector<organisation>> organisations;

    /// @return The service of this name, null when there is none.
    const service_profile* find_service(std::string_view name) const;

    bool operator==(const deployment&) const = default;
};

} // namespace roseworks
