#include "core/state/grant_store.hpp"

#include <algorithm>

namespace roseworks::detail
{

const standing_grant_view* grant_store::on(engine_id engine) const
{
    const auto found = this->by_engine.find(engine);
    return found == this->by_engine.end() ? nullptr : &found->second;
}

void grant_store::put(const standing_grant_view& grant)
{
    this->by_engine[grant.engine] = grant;
}

void grant_store::close(engine_id engine)
{
    this->by_engine.erase(engine);
}

void grant_store::spend(engine_id engine, std::uint32_t memory_mib)
{
    this->by_engine.at(engine).memory_mib -= memory_mib;
}

std::uint32_t grant_store::give_back(engine_id engine, fence held)
{
    const standing_grant_view* grant = this->on(engine);
    if (grant == nullptr || grant->held != held)
        return 0;
    std::erase_if(
        this->by_servable,
        [&](const auto& entry)
        {
            return this->rows.at(entry.second).engine == engine;
        });
    std::erase_if(
        this->rows,
        [&](const auto& entry)
        {
            return entry.second.engine == engine;
        });
    const std::uint32_t freed = grant->memory_mib;
    this->close(engine);
    return freed;
}

const granted_model_view* grant_store::find(replica_id id) const
{
    const auto found = this->rows.find(id);
    return found == this->rows.end() ? nullptr : &found->second;
}

const granted_model_view*
grant_store::find(servable_id servable, engine_id on) const
{
    auto entry = this->by_servable.lower_bound({servable, replica_id()});
    for (; entry != this->by_servable.end() && entry->first == servable;
         ++entry)
    {
        const granted_model_view* row = this->find(entry->second);
        if (row->engine == on)
            return row;
    }
    return nullptr;
}

void grant_store::add(const granted_model_view& model)
{
    this->rows.emplace(model.id, model);
    this->by_servable.emplace(model.servable, model.id);
}

void grant_store::erase(replica_id id)
{
    this->by_servable.erase({this->rows.at(id).servable, id});
    this->rows.erase(id);
}

std::size_t grant_store::count_of(servable_id id) const
{
    std::size_t count = 0;
    auto entry = this->by_servable.lower_bound({id, replica_id()});
    for (; entry != this->by_servable.end() && entry->first == id; ++entry)
        ++count;
    return count;
}

std::size_t grant_store::count_on(engine_id id) const
{
    return static_cast<std::size_t>(std::count_if(
        this->rows.begin(),
        this->rows.end(),
        [id](const auto& entry)
        {
            return entry.second.engine == id;
        }));
}

std::size_t grant_store::loads() const
{
    std::size_t sum = 0;
    for (const auto& [engine, grant] : this->by_engine)
        sum += grant.loads;
    return sum;
}

} // namespace roseworks::detail
