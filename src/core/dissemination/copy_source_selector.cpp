#include "core/dissemination/copy_source_selector.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace roseworks
{

namespace
{

/// Weight of a router that announced no capacity: it is asked, but rarely.
constexpr double min_capacity = 0.01;

} // namespace

copy_source_selector::copy_source_selector(options chosen)
    : settings(chosen)
    , random(chosen.seed)
{
}

void copy_source_selector::weighted_routers::clear()
{
    this->addresses.clear();
    this->capacities.clear();
}

void copy_source_selector::weighted_routers::add(const copy_source& one)
{
    this->addresses.push_back(one.address);
    this->capacities.push_back(std::max(one.capacity, min_capacity));
}

const std::string&
copy_source_selector::weighted_routers::draw(std::mt19937_64& random) const
{
    std::discrete_distribution<std::size_t> distribution(
        this->capacities.begin(), this->capacities.end());
    return this->addresses[distribution(random)];
}

void copy_source_selector::routers_listed(
    const copy_source& self, std::vector<copy_source> routers)
{
    const auto rank = [](const copy_source& one)
    {
        return std::pair(-one.capacity, std::string_view(one.name));
    };
    std::ranges::sort(routers, {}, rank);
    this->first_reader_addresses.clear();
    this->same_data_centre.clear();
    this->all_routers.clear();
    std::size_t routers_ahead =
        0; // routers of this data centre ahead of this one
    for (const copy_source& one : routers)
    {
        if (one.name == self.name)
            continue;
        this->all_routers.add(one);
        if (one.data_centre != self.data_centre)
            continue;
        this->same_data_centre.add(one);
        if (this->first_reader_addresses.size() < this->settings.first_readers)
            this->first_reader_addresses.push_back(one.address);
        routers_ahead += rank(one) < rank(self) ? 1 : 0;
    }
    this->is_first = routers_ahead < this->settings.first_readers;
    const std::size_t readers =
        std::max<std::size_t>(this->settings.first_readers, 1);
    this->doublings = static_cast<int>(std::bit_width(routers_ahead / readers));
}

std::optional<std::string> copy_source_selector::next()
{
    constexpr std::size_t kinds = 4;
    if (this->all_routers.addresses.empty())
        return std::nullopt;
    const std::size_t kind = this->request_count++ % kinds;
    if (kind == kinds - 1 || this->same_data_centre.addresses.empty())
        return this->all_routers.draw(this->random);
    if (kind % 2 != 0 || this->first_reader_addresses.empty())
        return this->same_data_centre.draw(this->random);
    std::uniform_int_distribution<std::size_t> distribution(
        0, this->first_reader_addresses.size() - 1);
    return this->first_reader_addresses[distribution(this->random)];
}

} // namespace roseworks
