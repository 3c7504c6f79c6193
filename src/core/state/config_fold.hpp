#pragma once

#include "core/state/fleet_data.hpp"

#include <roseworks/record.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace roseworks::detail
{

/** Folds one operators' change: all of it or nothing.

    Each entity is checked against the state as it would be after the whole
    change, so that a model and its adapters can be put, or removed, together
    in any order.
*/
class config_fold
{
public:
    config_fold(fold_context& context, const config_change& value);

    fold_result run();

private:
    /// Models and adapters share their names.
    using name_key = std::pair<entity_kind, std::string_view>;

    static name_key key_of(entity_kind kind, std::string_view name);
    /// @return The change of an entity in this record, null if there is none.
    const entity_change* pending(entity_kind kind, std::string_view name) const;

    fold_result check(const entity_change& change) const;
    fold_result check_names(const entity_change& change) const;
    fold_result check_removal(const entity_change& change) const;
    fold_result check_put(const entity_change& change) const;
    fold_result
    check_in_fleet(const entity_change& change, const adapter_spec&) const;
    fold_result
    check_in_fleet(const entity_change& change, const engine_spec&) const;
    template <class Spec>
    fold_result check_in_fleet(const entity_change& change, const Spec&) const;
    bool model_will_exist(std::string_view name) const;
    std::size_t adapters_left(servable_id model) const;
    std::string_view
    engine_at(std::string_view address, std::string_view other_than) const;

    void perform(const entity_change& change);
    std::uint32_t put(const entity_change& change, revision at);
    std::uint32_t put_unread(const entity_change& change, revision at);
    void remove(entity_kind kind, std::uint32_t id);
    void remove_engine(engine_id id);

    fold_context& context;
    fleet_data& data;
    const config_change& value;
    std::map<name_key, const entity_change*> staged;
};

} // namespace roseworks::detail
