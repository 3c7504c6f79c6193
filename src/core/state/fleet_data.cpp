#include "core/state/fleet_data.hpp"

namespace roseworks::detail
{

std::uint32_t fleet_data::find(entity_kind kind, std::string_view name) const
{
    switch (kind)
    {
    case entity_kind::model:
    case entity_kind::adapter:
    {
        const servable_id id = this->servables.find(name);
        const servable_row* row = this->servables.row(id);
        const bool same =
            row != nullptr && row->is_adapter == (kind == entity_kind::adapter);
        return same ? id.value : 0;
    }
    case entity_kind::engine:
        return this->engines.find(name).value;
    case entity_kind::service:
        return this->services.find(name).value;
    case entity_kind::caller:
        return this->callers.find(name).value;
    case entity_kind::policy:
        return name == policy_name && this->policy.current ? 1 : 0;
    }
    return 0;
}

revision fleet_data::current(entity_kind kind, std::string_view name) const
{
    const std::uint32_t id = this->find(kind, name);
    if (id == 0)
        return revision();
    switch (kind)
    {
    case entity_kind::model:
    case entity_kind::adapter:
        return this->servables.row(servable_id(id))->current;
    case entity_kind::engine:
        return this->engines.row(engine_id(id))->current;
    case entity_kind::service:
        return this->services.row(service_id(id))->current;
    case entity_kind::caller:
        return this->callers.row(caller_id(id))->current;
    case entity_kind::policy:
        return this->policy.current;
    }
    return revision();
}

} // namespace roseworks::detail
