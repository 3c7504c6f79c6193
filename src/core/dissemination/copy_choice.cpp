#include "core/dissemination/copy_choice.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

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
    std::size_t before = 0; // routers that read the store before this one
    for (const copy_holder& one : all)
    {
        if (one.name == self.name)
            continue;
        this->others.push_back(one.address);
        if (this->first.size() < this->settings.first_readers)
            this->first.push_back(one.address);
        before += strongest_first(one) < strongest_first(self) ? 1 : 0;
    }
    this->is_first = before < this->settings.first_readers;
}

std::optional<std::string> copy_choice::next()
{
    if (this->others.empty())
        return std::nullopt;
    const std::vector<std::string>& from =
        this->first_is_next ? this->first : this->others;
    this->first_is_next = !this->first_is_next;
    std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
    return from[any(this->random)];
}

} // namespace roseworks
