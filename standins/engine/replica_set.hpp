#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace roseworks::standins
{

enum class replica_state
{
    loading,
    ready,
    unloading,
    failed
};

/// One resident model or adapter.
struct replica
{
    std::uint64_t id = 0;
    std::string servable;
    std::string kind;
    std::string version;
    std::string base; ///< the servable an adapter needs, else empty
    std::string order_id;
    std::uint64_t memory = 0; ///< in MiB
    replica_state state = replica_state::loading;
    std::size_t requests = 0; ///< running or waiting on it
};

/// What is in an engine's memory. A replica counts until it is removed,
/// whatever its state.
class replica_set
{
public:
    explicit replica_set(std::uint64_t total_mib);

    [[nodiscard]] bool fits(std::uint64_t memory) const;

    /// Adds a replica that fits.
    void add(replica added);

    void remove(std::uint64_t id);

    /// @return Null when it is not there.
    [[nodiscard]] replica* find(std::uint64_t id);

    /// @return The least busy ready replica, null when there is none.
    [[nodiscard]] replica* find_ready(std::string_view servable);

    [[nodiscard]] bool
    holds(std::string_view servable, replica_state state) const;

    /// True when no adapter would be left without its base model.
    [[nodiscard]] bool may_unload(const replica& candidate) const;

    [[nodiscard]] std::uint64_t memory_total() const;
    [[nodiscard]] std::uint64_t memory_used() const;
    [[nodiscard]] std::uint64_t memory_peak() const;

    /// The list as in `GET /v1/engine/state`.
    [[nodiscard]] boost::json::array to_json() const;

    /// For each servable, the most replicas that were resident at once.
    [[nodiscard]] boost::json::object resident_peaks() const;

private:
    [[nodiscard]] std::size_t count(std::string_view servable) const;

    std::uint64_t total;
    std::uint64_t used = 0;
    std::uint64_t peak = 0;
    std::map<std::uint64_t, replica> replicas;
    std::map<std::string, std::size_t> peaks;
};

} // namespace roseworks::standins
