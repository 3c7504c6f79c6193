#include "core/swapping/demand_estimator.hpp"

#include "core/serving/servable_key.hpp"

#include <cmath>
#include <numbers>

namespace roseworks
{

demand_estimator::demand_estimator(options chosen)
    : settings(chosen)
{
}

void demand_estimator::add(
    std::string_view servable, std::uint32_t requests, instant now)
{
    if (requests == 0)
        return;
    const servable_parts parts = split_servable_key(servable);
    row& one = this->rows[servable_key(parts.service, parts.model)];
    one.count = this->decayed(one, now) + requests;
    one.updated = now;
}

double
demand_estimator::decayed_count(const std::string& model, instant now) const
{
    const auto found = this->rows.find(model);
    return found == this->rows.end() ? 0 : this->decayed(found->second, now);
}

double demand_estimator::requests_per_second(
    const std::string& model, instant now) const
{
    const double half_life =
        std::chrono::duration<double>(this->settings.half_life).count();
    return this->decayed_count(model, now) * std::numbers::ln2 / half_life;
}

void demand_estimator::tick(instant now)
{
    /// A single request decays to this after about seven half-lives.
    constexpr double negligible = 0.01;
    std::erase_if(
        this->rows,
        [&](const auto& entry)
        {
            return this->decayed(entry.second, now) < negligible;
        });
}

double demand_estimator::decayed(const row& counter, instant now) const
{
    const auto elapsed = static_cast<double>((now - counter.updated).count());
    const auto half = static_cast<double>(this->settings.half_life.count());
    return counter.count * std::exp2(-elapsed / half);
}

} // namespace roseworks
