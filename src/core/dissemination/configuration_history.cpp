#include "core/dissemination/configuration_history.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace roseworks
{

configuration_history::configuration_history(options chosen)
    : settings(chosen)
{
}

std::optional<configuration_change>
configuration_history::replace(std::string text, std::uint64_t offset)
{
    std::optional<configuration_change> change;
    if (!this->current.empty())
        change = {offset, compare_texts(this->current, text)};
    this->current_digest = text_digest(text);
    this->current = std::move(text);
    this->current_offset = offset;
    if (change)
        this->add(*change);
    return change;
}

std::optional<std::string> configuration_history::preview(
    std::span<const configuration_change> newer) const
{
    // A sender may include changes that arrived here in the meantime.
    const auto first = std::ranges::find(
        newer,
        this->current_digest,
        [](const configuration_change& one)
        {
            return one.text.base_digest;
        });
    if (first == newer.end() || this->current.empty())
        return std::nullopt;
    std::optional<std::string> result;
    for (auto next = first; next != newer.end(); ++next)
    {
        const std::string_view before =
            result ? std::string_view(*result) : this->current;
        result = apply_change(before, next->text, this->settings.max_bytes);
        if (!result)
            return std::nullopt;
    }
    return result;
}

void configuration_history::apply(
    std::string text, std::span<const configuration_change> newer)
{
    for (const configuration_change& change : newer)
    {
        if (change.text.base_digest == this->current_digest)
        {
            this->current_digest = change.text.digest;
            this->add(change);
        }
    }
    this->current = std::move(text);
    if (!newer.empty())
        this->current_offset = newer.back().offset;
}

void configuration_history::add(configuration_change change)
{
    this->changes.push_back(std::move(change));
    if (this->changes.size() > this->settings.max_changes)
        this->changes.pop_front();
}

std::vector<configuration_change>
configuration_history::since(std::uint64_t digest) const
{
    // A version may come back, so the last change that applies counts.
    const auto last = std::ranges::find(
        this->changes.rbegin(),
        this->changes.rend(),
        digest,
        [](const configuration_change& one)
        {
            return one.text.base_digest;
        });
    if (last == this->changes.rend())
        return {};
    std::vector<configuration_change> newer(
        std::prev(last.base()), this->changes.end());
    std::size_t bytes = 0;
    for (const configuration_change& one : newer)
        bytes += bytes_of(one);
    return bytes < this->current.size() ? newer
                                        : std::vector<configuration_change>();
}

std::size_t bytes_of(const configuration_change& change)
{
    constexpr std::size_t numbers = 40;
    return change.text.steps.size() + numbers;
}

} // namespace roseworks
