#include "standins/engine/prefix_cache.hpp"

#include "standins/engine/hex.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::standins
{

namespace
{

constexpr std::size_t max_kept_events = 4096;
constexpr std::size_t max_events_per_answer = 1024;

} // namespace

std::string hash_prefix(std::string_view model, std::string_view prompt)
{
    std::string text(model);
    text += '\n';
    text += prompt.substr(0, prefix_chars);
    return hash_hex(text);
}

prefix_cache::prefix_cache(std::size_t limit)
    : capacity(limit)
{
}

bool prefix_cache::touch(std::string_view model, std::string_view prompt)
{
    if (this->capacity == 0)
    {
        return false;
    }
    const std::string prefix = hash_prefix(model, prompt);
    const auto found = std::find_if(
        this->entries.begin(),
        this->entries.end(),
        [&](const entry& candidate)
        {
            return candidate.prefix == prefix;
        });
    if (found != this->entries.end())
    {
        this->entries.splice(this->entries.begin(), this->entries, found);
        return true;
    }
    this->entries.push_front({std::string(model), prefix});
    this->publish(prefix, true);
    if (this->entries.size() > this->capacity)
    {
        this->publish(this->entries.back().prefix, false);
        this->entries.pop_back();
    }
    return false;
}

void prefix_cache::forget(std::string_view model)
{
    for (const entry& candidate : this->entries)
    {
        if (candidate.model == model)
        {
            this->publish(candidate.prefix, false);
        }
    }
    std::erase_if(
        this->entries,
        [&](const entry& candidate)
        {
            return candidate.model == model;
        });
}

void prefix_cache::drop_events(std::uint64_t count)
{
    this->to_drop = count;
}

boost::json::object
prefix_cache::events(std::uint64_t from, std::chrono::milliseconds lag) const
{
    const clock::time_point visible = clock::now() - lag;
    boost::json::array listed;
    std::uint64_t next = from;
    for (const event& candidate : this->published)
    {
        if (candidate.sequence < from)
        {
            continue;
        }
        if (candidate.since > visible || listed.size() == max_events_per_answer)
        {
            break;
        }
        boost::json::object item;
        item["seq"] = candidate.sequence;
        item["prefix"] = candidate.prefix;
        item["cached"] = candidate.cached;
        listed.emplace_back(std::move(item));
        next = candidate.sequence + 1;
    }
    boost::json::object result;
    result["next"] = next;
    result["events"] = std::move(listed);
    return result;
}

void prefix_cache::publish(const std::string& prefix, bool cached)
{
    const std::uint64_t sequence = this->next_sequence++;
    if (this->to_drop > 0)
    {
        --this->to_drop;
        return;
    }
    this->published.push_back({sequence, clock::now(), prefix, cached});
    if (this->published.size() > max_kept_events)
    {
        this->published.pop_front();
    }
}

} // namespace roseworks::standins
