#include "core/swapping/need_book.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace roseworks
{

namespace
{

constexpr char key_separator = '\n';

instant in_future(instant now, std::int64_t micros)
{
    constexpr std::int64_t farthest = 3'600'000'000;
    return now + duration(std::clamp(micros, -farthest, farthest));
}

/// Servables that can still meet an objective come first; the others have
/// `instant::max()`.
bool goes_before(const wanted_servable& left, const wanted_servable& right)
{
    return std::tie(left.objective, left.deadline, left.servable) <
           std::tie(right.objective, right.deadline, right.servable);
}

} // namespace

need_book::need_book(options chosen)
    : settings(chosen)
    , asked(chosen.demand)
{
}

std::string
need_book::use_key(std::string_view engine, std::string_view servable)
{
    std::string key(engine);
    key += key_separator;
    key += servable;
    return key;
}

bool need_book::heard(const router_word& word, instant now)
{
    router_row& row = this->rows[word.router];
    // A run's number is its start by wall clock, which may be set back. After
    // a silence, a report with a lower number comes from the live run.
    const bool silent = now - row.heard >= this->settings.router_lifetime;
    const bool older = (word.run < row.run && !silent) ||
                       (word.run == row.run && word.sequence <= row.sequence);
    if (older)
        return false;
    row.run = word.run;
    row.sequence = word.sequence;
    row.heard = now;
    for (const servable_need& need : word.needs)
    {
        if (need.waiting == 0)
        {
            row.needs.erase(need.servable);
            continue;
        }
        const instant objective =
            need.objective_in_us == servable_need::no_objective
                ? instant::max()
                : in_future(now, need.objective_in_us);
        need_row& before = row.needs[need.servable];
        // Requests that are refused never start on an engine, so demand has to
        // count waiting requests, too.
        if (need.waiting > before.waiting)
            this->asked.add(need.servable, need.waiting - before.waiting, now);
        before = {
            need.waiting, objective, in_future(now, need.deadline_in_us), now};
    }
    this->take_uses(row, word, now);
    return true;
}

void need_book::take_uses(router_row& row, const router_word& word, instant now)
{
    for (const servable_use& told : word.uses)
    {
        const std::string key = use_key(told.engine, told.servable);
        use_row& before = row.uses[key];
        this->change_use(key, before.running, told.running);
        before = {told.running, now, now};
        this->uses[key].last_used = now;
        this->asked.add(told.servable, told.started, now);
    }
}

void need_book::change_use(
    const std::string& key, std::uint32_t before, std::uint32_t after)
{
    this->uses[key].running += after - before;
}

std::vector<wanted_servable> need_book::wanted(instant now) const
{
    std::unordered_map<std::string_view, wanted_servable> found;
    for (const auto& [router, row] : this->rows)
    {
        for (const auto& [servable, need] : row.needs)
        {
            const bool old = now - need.heard > this->settings.need_lifetime;
            if (old || need.deadline <= now)
                continue;
            wanted_servable& sum = found[servable];
            if (sum.waiting == 0)
            {
                sum.servable = servable;
                sum.deadline = need.deadline;
            }
            sum.waiting += need.waiting;
            if (need.objective > now)
                sum.objective = std::min(sum.objective, need.objective);
            sum.deadline = std::min(sum.deadline, need.deadline);
            sum.routers.push_back(router);
        }
    }
    std::vector<wanted_servable> all;
    all.reserve(found.size());
    for (auto& [servable, sum] : found)
        all.push_back(std::move(sum));
    std::ranges::sort(all, goes_before);
    return all;
}

const need_book::use*
need_book::find_use(std::string_view engine, std::string_view servable) const
{
    const auto found = this->uses.find(use_key(engine, servable));
    return found == this->uses.end() ? nullptr : &found->second;
}

std::vector<std::string>
need_book::routers_waiting(std::string_view servable, instant now) const
{
    std::vector<std::string> found;
    const std::string key(servable);
    for (const auto& [router, row] : this->rows)
    {
        const auto need = row.needs.find(key);
        if (need != row.needs.end() &&
            now - need->second.heard <= this->settings.need_lifetime)
            found.push_back(router);
    }
    return found;
}

std::vector<std::string> need_book::routers_using(
    std::string_view engine, std::string_view servable) const
{
    std::vector<std::string> found;
    const std::string key = use_key(engine, servable);
    for (const auto& [router, row] : this->rows)
    {
        if (row.uses.contains(key))
            found.push_back(router);
    }
    return found;
}

std::size_t need_book::routers(instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->rows,
        [&](const auto& entry)
        {
            return now - entry.second.heard < this->settings.router_lifetime;
        }));
}

void need_book::tick(instant now)
{
    this->asked.tick(now);
    for (auto& [router, row] : this->rows)
    {
        std::erase_if(
            row.needs,
            [&](const auto& entry)
            {
                return now - entry.second.heard > this->settings.need_lifetime;
            });
        for (auto& [key, told] : row.uses)
        {
            if (now - told.heard > this->settings.use_lifetime)
                this->change_use(key, std::exchange(told.running, 0), 0);
        }
        std::erase_if(
            row.uses,
            [&](const auto& entry)
            {
                return entry.second.running == 0 &&
                       now - entry.second.last_used > this->settings.recent_use;
            });
    }
    std::erase_if(
        this->uses,
        [&](const auto& entry)
        {
            constexpr duration remembered = std::chrono::seconds(60);
            return entry.second.running == 0 &&
                   now - entry.second.last_used > remembered;
        });
}

} // namespace roseworks
