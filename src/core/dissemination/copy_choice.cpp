#include "core/dissemination/copy_choice.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace roseworks
{

namespace
{

/// Of one that names none: it may be asked, if seldom.
constexpr double least_capacity = 0.01;

} // namespace

copy_choice::copy_choice(options chosen)
    : settings(chosen)
    , random(chosen.seed)
{
}

void copy_choice::routers_listed(
    const copy_holder& self, std::vector<copy_holder> all)
{
    const auto strongest_first = [](const copy_holder& one)
    {
        return std::pair(-one.capacity, std::string_view(one.name));
    };
    std::ranges::sort(all, {}, strongest_first);
    this->first.clear();
    this->others.clear();
    std::vector<double> capacities;
    std::size_t before = 0; // routers that read the store before this one
    for (const copy_holder& one : all)
    {
        if (one.name == self.name)
            continue;
        this->others.push_back(one.address);
        capacities.push_back(std::max(one.capacity, least_capacity));
        if (this->first.size() < this->settings.first_readers)
            this->first.push_back(one.address);
        before += strongest_first(one) < strongest_first(self) ? 1 : 0;
    }
    this->any_other = {capacities.begin(), capacities.end()};
    this->is_first = before < this->settings.first_readers;
    const std::size_t readers =
        std::max<std::size_t>(this->settings.first_readers, 1);
    this->doublings = static_cast<int>(std::bit_width(before / readers));
}

std::optional<std::string> copy_choice::next()
{
    if (this->others.empty())
        return std::nullopt;
    const bool asks_first =
        std::exchange(this->first_is_next, !this->first_is_next);
    if (!asks_first || this->first.empty())
        return this->others[this->any_other(this->random)];
    std::uniform_int_distribution<std::size_t> any(0, this->first.size() - 1);
    return this->first[any(this->random)];
}

} // namespace roseworks
