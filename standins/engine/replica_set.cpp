#include "standins/engine/replica_set.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::standins
{

namespace
{

std::string_view state_name(replica_state state)
{
    switch (state)
    {
    case replica_state::loading:
        return "loading";
    case replica_state::ready:
        return "ready";
    case replica_state::unloading:
        return "unloading";
    case replica_state::failed:
        return "failed";
    }
    return "unknown";
}

boost::json::object describe(const replica& resident)
{
    boost::json::object result;
    result["replica"] = resident.id;
    result["servable"] = resident.servable;
    result["kind"] = resident.kind;
    result["version"] = resident.version;
    result["state"] = state_name(resident.state);
    result["memory"] = resident.memory;
    result["order_id"] = resident.order_id;
    return result;
}

} // namespace

replica_set::replica_set(std::uint64_t total_mib)
    : total(total_mib)
{
}

bool replica_set::fits(std::uint64_t memory) const
{
    return memory <= this->total - this->used;
}

void replica_set::add(replica added)
{
    this->used += added.memory;
    this->peak = std::max(this->peak, this->used);
    const std::string servable = added.servable;
    const std::uint64_t id = added.id;
    this->replicas.emplace(id, std::move(added));
    std::size_t& most = this->peaks[servable];
    most = std::max(most, this->count(servable));
}

void replica_set::remove(std::uint64_t id)
{
    const auto found = this->replicas.find(id);
    if (found == this->replicas.end())
    {
        return;
    }
    this->used -= found->second.memory;
    this->replicas.erase(found);
}

replica* replica_set::find(std::uint64_t id)
{
    const auto found = this->replicas.find(id);
    return found == this->replicas.end() ? nullptr : &found->second;
}

replica* replica_set::find_ready(std::string_view servable)
{
    replica* best = nullptr;
    for (auto& [id, resident] : this->replicas)
    {
        if (resident.servable != servable ||
            resident.state != replica_state::ready)
        {
            continue;
        }
        if (best == nullptr || resident.requests < best->requests)
        {
            best = &resident;
        }
    }
    return best;
}

bool replica_set::holds(std::string_view servable, replica_state state) const
{
    return std::any_of(
        this->replicas.begin(),
        this->replicas.end(),
        [&](const auto& entry)
        {
            return entry.second.servable == servable &&
                   entry.second.state == state;
        });
}

bool replica_set::may_unload(const replica& candidate) const
{
    bool needed = false;
    for (const auto& [id, resident] : this->replicas)
    {
        const bool replaces = id != candidate.id &&
                              resident.servable == candidate.servable &&
                              (resident.state == replica_state::ready ||
                               resident.state == replica_state::loading);
        if (replaces)
        {
            return true;
        }
        needed = needed || resident.base == candidate.servable;
    }
    return !needed;
}

std::uint64_t replica_set::memory_total() const
{
    return this->total;
}

std::uint64_t replica_set::memory_used() const
{
    return this->used;
}

std::uint64_t replica_set::memory_peak() const
{
    return this->peak;
}

boost::json::array replica_set::to_json() const
{
    boost::json::array result;
    for (const auto& [id, resident] : this->replicas)
    {
        result.emplace_back(describe(resident));
    }
    return result;
}

boost::json::object replica_set::resident_peaks() const
{
    boost::json::object result;
    for (const auto& [servable, most] : this->peaks)
    {
        result[servable] = most;
    }
    return result;
}

std::size_t replica_set::count(std::string_view servable) const
{
    const auto matches = std::count_if(
        this->replicas.begin(),
        this->replicas.end(),
        [&](const auto& entry)
        {
            return entry.second.servable == servable;
        });
    return static_cast<std::size_t>(matches);
}

} // namespace roseworks::standins
