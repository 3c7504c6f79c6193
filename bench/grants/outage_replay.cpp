#include "outage_replay.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace roseworks::bench
{

namespace
{

using std::chrono::hours;
using std::chrono::seconds;

constexpr duration first_outage = hours(5);
constexpr duration between_outages = hours(3);
constexpr duration idle_time = seconds(300);
/// A cold request waits for so long.
constexpr duration patience = seconds(30);
constexpr double mib_per_gib = 1024;

/// Memory set aside on one engine; loads on it run one after the other.
struct grant
{
    std::uint32_t memory_mib = 0;
    std::uint32_t left_mib = 0;
    instant load_ends{};
};

/// One outage under one plan.
class outage
{
public:
    outage(const trace& from, instant begin, const grant_plan& wanted)
        : source(from)
        , begins(begin)
        , plan(wanted)
        , last_use(from.servables.size())
        , grant_of(from.servables.size())
        , ready_at(from.servables.size())
    {
        this->note_uses();
        this->open_grants();
        this->name_models();
    }

    void arrive(const traced_request& request, outage_figures& sum)
    {
        if (this->is_warm(request.servable))
        {
            return;
        }
        ++sum.cold;
        if (this->source.servables[request.servable].base)
        {
            return;
        }
        ++sum.cold_models;
        const bool urgent = request.urgency == priority::urgent;
        sum.cold_urgent += urgent ? 1 : 0;
        this->want(request, sum);
        const std::optional<instant>& ready = this->ready_at[request.servable];
        if (ready && *ready <= request.at + patience)
        {
            ++sum.served;
            sum.served_urgent += urgent ? 1 : 0;
        }
    }

    void add_sizes(outage_figures& sum) const
    {
        double reserved = 0;
        for (const grant& item : this->grants)
        {
            reserved += item.memory_mib;
        }
        double all = 0;
        for (const traced_engine& engine : this->source.engines)
        {
            all += engine.memory_mib;
        }
        sum.reserved_gib += reserved / mib_per_gib;
        sum.reserved_share += reserved / all;
        sum.granted_models += static_cast<std::uint64_t>(std::count_if(
            this->grant_of.begin(),
            this->grant_of.end(),
            [](const auto& item)
            {
                return item.has_value();
            }));
        ++sum.outages;
    }

private:
    void note_uses()
    {
        for (const traced_request& request : this->source.requests)
        {
            if (request.at >= this->begins)
            {
                break;
            }
            this->last_use[request.servable] = request.at;
        }
    }

    bool is_warm(std::uint32_t servable) const
    {
        const std::optional<instant>& used = this->last_use[servable];
        return used && this->begins < *used + idle_time;
    }

    /// On the engines with the most memory left by what is warm.
    void open_grants()
    {
        std::vector<std::uint32_t> free;
        for (const traced_engine& engine : this->source.engines)
        {
            free.push_back(engine.memory_mib);
        }
        for (std::uint32_t id = 0; id < this->source.servables.size(); ++id)
        {
            const std::uint32_t needed = this->source.servables[id].memory_mib;
            const auto emptiest = std::max_element(free.begin(), free.end());
            if (this->is_warm(id) && *emptiest >= needed)
            {
                *emptiest -= needed;
            }
        }
        std::sort(free.rbegin(), free.rend());
        const std::size_t count =
            this->plan.way == grant_way::none
                ? 0
                : std::min<std::size_t>(this->plan.grants, free.size());
        for (std::size_t at = 0; at < count; ++at)
        {
            const std::uint32_t memory =
                std::min(this->plan.memory_mib, free[at]);
            this->grants.push_back({memory, memory, {}});
        }
    }

    /// The last used first; under `per_model` until the memory is all named.
    void name_models()
    {
        std::vector<std::uint32_t> cold;
        for (std::uint32_t id = 0; id < this->source.servables.size(); ++id)
        {
            if (!this->is_warm(id) && !this->source.servables[id].base)
            {
                cold.push_back(id);
            }
        }
        std::stable_sort(
            cold.begin(),
            cold.end(),
            [&](std::uint32_t one, std::uint32_t other)
            {
                return this->last_use[one] > this->last_use[other];
            });
        std::vector<std::uint32_t> unnamed;
        for (const grant& item : this->grants)
        {
            unnamed.push_back(item.memory_mib);
        }
        std::size_t turn = 0;
        for (const std::uint32_t id : cold)
        {
            const std::uint32_t needed = this->source.servables[id].memory_mib;
            for (std::size_t i = 0; i < this->grants.size(); ++i)
            {
                const std::size_t at = (turn + i) % this->grants.size();
                if (unnamed[at] < needed)
                {
                    continue;
                }
                this->grant_of[id] = at;
                if (this->plan.way == grant_way::per_model)
                {
                    unnamed[at] -= needed;
                }
                turn = at + 1;
                break;
            }
        }
    }

    void want(const traced_request& request, outage_figures& sum)
    {
        const traced_servable& model = this->source.servables[request.servable];
        const std::optional<std::size_t>& at = this->grant_of[request.servable];
        const bool in_term = request.at < this->begins + this->plan.term;
        if (!at || this->ready_at[request.servable] || !in_term ||
            this->grants[*at].left_mib < model.memory_mib)
        {
            return;
        }
        grant& from = this->grants[*at];
        const instant start = std::max(request.at, from.load_ends);
        const instant end = start + std::chrono::milliseconds(model.load_ms);
        // Nobody would wait for it.
        if (end > request.at + patience)
        {
            return;
        }
        from.left_mib -= model.memory_mib;
        from.load_ends = end;
        this->ready_at[request.servable] = end;
        ++sum.loads;
    }

    const trace& source;
    instant begins;
    grant_plan plan;
    std::vector<std::optional<instant>> last_use;     ///< by servable
    std::vector<std::optional<std::size_t>> grant_of; ///< by servable
    std::vector<std::optional<instant>> ready_at;     ///< by servable
    std::vector<grant> grants;
};

} // namespace

outage_figures
replay_outages(const trace& source, duration length, const grant_plan& plan)
{
    outage_figures sum;
    for (duration at = first_outage; at + length <= source.length;
         at += between_outages)
    {
        const instant begin{at};
        outage now(source, begin, plan);
        for (const traced_request& request : source.requests)
        {
            if (request.at >= begin && request.at < begin + length)
            {
                now.arrive(request, sum);
            }
        }
        now.add_sizes(sum);
    }
    sum.reserved_gib /= static_cast<double>(sum.outages);
    sum.reserved_share /= static_cast<double>(sum.outages);
    return sum;
}

std::string_view to_string(grant_way way)
{
    switch (way)
    {
    case grant_way::none:
        return "refuse";
    case grant_way::per_model:
        return "per_model";
    case grant_way::shared:
        return "shared";
    }
    return "unknown";
}

} // namespace roseworks::bench
