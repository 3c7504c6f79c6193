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

void copy_choice::drawn_routers::clear()
{
    this->addresses.clear();
    this->capacities.clear();
}

void copy_choice::drawn_routers::add(const copy_holder& one)
{
    this->addresses.push_back(one.address);
    this->capacities.push_back(std::max(one.capacity, least_capacity));
}

const std::string&
copy_choice::drawn_routers::draw(std::mt19937_64& random) const
{
    std::discrete_distribution<std::size_t> any(
        this->capacities.begin(), this->capacities.end());
    return this->addresses[any(random)];
}

void copy_choice::routers_listed(
    const copy_holder& self, std::vector<copy_holder> routers)
{
    const auto strongest_first = [](const copy_holder& one)
    {
        return std::pair(-one.capacity, std::string_view(one.name));
    };
    std::ranges::sort(routers, {}, strongest_first);
    this->first.clear();
    this->near.clear();
    this->all.clear();
    std::size_t before = 0; // routers that read the store before this one
    for (const copy_holder& one : routers)
    {
        if (one.name == self.name)
            continue;
        this->all.add(one);
        if (one.data_centre != self.data_centre)
            continue;
        this->near.add(one);
        if (this->first.size() < this->settings.first_readers)
            this->first.push_back(one.address);
        before += strongest_first(one) < strongest_first(self) ? 1 : 0;
    }
    this->is_first = before < this->settings.first_readers;
    const std::size_t readers =
        std::max<std::size_t>(this->settings.first_readers, 1);
    this->doublings = static_cast<int>(std::bit_width(before / readers));
}

std::optional<std::string> copy_choice::next()
{
    constexpr std::size_t kinds = 4;
    if (this->all.addresses.empty())
        return std::nullopt;
    const std::size_t kind = this->asked++ % kinds;
    if (kind == kinds - 1 || this->near.addresses.empty())
        return this->all.draw(this->random);
    if (kind % 2 != 0 || this->first.empty())
        return this->near.draw(this->random);
    std::uniform_int_distribution<std::size_t> any(0, this->first.size() - 1);
    return this->first[any(this->random)];
}

} // namespace roseworks
