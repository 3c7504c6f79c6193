#pragma once

#include "core/routing/name_index.hpp"
#include "core/routing/servable_tree.hpp"

#include <roseworks/routing_table.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace roseworks::detail
{

/** The immutable table that `sharded_table` publishes. It shares all unchanged
    parts with the snapshots before and after it. Advisory: nothing is decided
    by it. */
class table_snapshot final : public routing_table
{
public:
    using service_map = std::map<std::string, service_routes, std::less<>>;
    using caller_map = std::map<std::string, caller_spec, std::less<>>;
    using fingerprints = std::vector<fingerprint>; ///< sorted

    const servable_routes* find_servable(std::string_view name) const override;
    const servable_routes* find_servable(servable_id id) const override;
    const service_routes* find_service(std::string_view name) const override;
    const caller_spec* find_caller(std::string_view name) const override;
    bool is_blocked(fingerprint request) const override;
    bool is_suspect(fingerprint request) const override;
    bool log_available() const override;
    std::vector<std::string> servable_names() const override;

private:
    friend class sharded_table;

    std::shared_ptr<const void> names_owner; ///< keeps borrowed names alive
    servable_tree servables;
    name_index names;
    std::shared_ptr<const service_map> services;
    std::shared_ptr<const caller_map> callers;
    std::shared_ptr<const fingerprints> blocked;
    std::shared_ptr<const fingerprints> suspects;
    bool log_was_available = true;
};

/** A mutable routing table that publishes immutable snapshots of itself.

    Services, callers and fingerprints are few and change no more often than an
    operator acts, so their maps are copied as a whole. Advisory: nothing is
    decided by it. Not thread-safe.
*/
class sharded_table
{
public:
    sharded_table();

    /// Retains the owner of names that entries borrow until `clear`.
    void retain_names(std::shared_ptr<const void> owner);

    /// @return Whether entries may borrow names of this owner.
    bool retains(const std::shared_ptr<const void>& owner) const;

    /// Inserts a model or adapter, or replaces the one with the same id.
    void put(servable_routes entry);
    void erase(servable_id id);
    const servable_routes* find(servable_id id) const;

    /// Calls `visit` with each model and adapter, in order of the ids.
    template <class Visit>
    void for_each(const Visit& visit) const
    {
        this->working.servables.for_each(visit);
    }

    void put(service_routes entry);
    void erase_service(service_id id);
    void put_caller(std::string_view name, const caller_spec& spec);
    void erase_caller(std::string_view name);

    void set_blocked(fingerprint request, bool blocked);
    void set_suspect(fingerprint request, bool suspect);
    const std::vector<fingerprint>& blocked() const;
    const std::vector<fingerprint>& suspects() const;

    void set_log_available(bool available);

    /// Removes everything except whether the log is available.
    void clear();

    /// @return A snapshot; the previous one when nothing has changed since.
    routing_table_ptr publish();

private:
    table_snapshot working;
    table_version version = 1;
    routing_table_ptr published;
};

} // namespace roseworks::detail
