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

/** The table that `sharded_table` publishes: immutable, shares its parts with
    those before and after it. Hint. */
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

    std::shared_ptr<const void> names_owner; ///< of borrowed names
    servable_tree servables;
    name_index names;
    std::shared_ptr<const service_map> services;
    std::shared_ptr<const caller_map> callers;
    std::shared_ptr<const fingerprints> blocked;
    std::shared_ptr<const fingerprints> suspects;
    bool log_was_available = true;
};

/** A routing table under edit; publishes immutable snapshots of itself.

    Services, callers and fingerprints are few and change at an operator's
    rate: their maps are copied whole. Hint; not thread-safe.
*/
class sharded_table
{
public:
    sharded_table();

    /// Keeps the owner of names that entries borrow, until `clear`.
    void keep_names(std::shared_ptr<const void> owner);

    /// @return Whether names of this owner may be borrowed.
    bool keeps(const std::shared_ptr<const void>& owner) const;

    /// Puts a model or adapter, in place of the one with its id.
    void put(servable_routes entry);
    void erase(servable_id id);
    const servable_routes* find(servable_id id) const;

    /// Calls `visit` with each model and adapter, by id.
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

    /// Forgets everything but whether the log is available.
    void clear();

    /// @return The table as of now; the one before when nothing changed.
    routing_table_ptr publish();

private:
    table_snapshot working;
    edition current = 1;
    routing_table_ptr published;
};

} // namespace roseworks::detail
