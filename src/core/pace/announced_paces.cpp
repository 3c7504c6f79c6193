#include "core/pace/announced_paces.hpp"

namespace roseworks
{

namespace
{

constexpr std::uint32_t mean_pace = 100;

} // namespace

void announced_paces::announced(
    std::string_view engine,
    std::int64_t born_ms,
    std::uint32_t percent,
    instant now)
{
    if (percent != 0)
        this->entries[std::string(engine)] = {born_ms, percent, now + lifetime};
}

std::uint32_t announced_paces::percent(
    std::string_view engine, std::int64_t born_ms, instant now) const
{
    const auto found = this->entries.find(engine);
    const bool is_valid = found != this->entries.end() &&
                          found->second.born_ms == born_ms &&
                          now < found->second.until;
    return is_valid ? found->second.percent : mean_pace;
}

instant announced_paces::until(std::string_view engine, instant now) const
{
    const auto found = this->entries.find(engine);
    return found == this->entries.end() ? now : found->second.until;
}

std::vector<std::string> announced_paces::engines(instant now)
{
    std::erase_if(
        this->entries,
        [now](const auto& one)
        {
            return one.second.until <= now;
        });
    std::vector<std::string> ids;
    for (const auto& [id, one] : this->entries)
        ids.push_back(id);
    return ids;
}

} // namespace roseworks
