#include "core/request/crash_count.hpp"

#include <algorithm>

namespace roseworks::detail
{

bool crash_count::record_break(engine_id engine, std::string_view address)
{
    const auto known = this->find(engine, address);
    if (known != this->servers.end())
    {
        ++known->broken_connections;
        return false;
    }
    this->servers.push_back({engine, std::string(address), 1});
    return true;
}

bool crash_count::record_finding(
    engine_id engine, std::string_view address, crash_finding finding)
{
    const auto known = this->find(engine, address);
    if (known == this->servers.end())
    {
        return false;
    }
    known->examined = true;
    if (finding == crash_finding::survived)
    {
        this->servers.erase(known);
    }
    return true;
}

std::uint32_t crash_count::total() const
{
    std::uint32_t sum = 0;
    for (const server& candidate : this->servers)
    {
        sum += candidate.broken_connections;
    }
    return sum;
}

bool crash_count::all_examined() const
{
    return std::ranges::all_of(this->servers, &server::examined);
}

std::vector<crash_count::server>::iterator
crash_count::find(engine_id engine, std::string_view address)
{
    return std::ranges::find_if(
        this->servers,
        [&](const server& candidate)
        {
            return candidate.engine == engine && candidate.address == address;
        });
}

} // namespace roseworks::detail
