#include "core/dissemination/version_fetch.hpp"

#include <algorithm>

namespace roseworks
{

version_fetch::version_fetch(options chosen)
    : settings(chosen)
{
}

void version_fetch::announced(std::string_view address)
{
    this->announcer = address;
}

std::optional<version_fetch::attempt> version_fetch::next(
    instant since, const distribution_tree& tree, copy_source_selector& others)
{
    if (this->started != since)
        this->attempts = 0;
    this->started = since;
    const std::size_t number = this->attempts++;
    const auto parent = tree.parent(this->announcer);
    if (number < this->settings.parent_attempts && parent)
        return attempt{*parent, this->settings.hold_time};
    if (number == this->settings.parent_attempts && parent)
        return attempt{this->announcer, duration::zero()};
    const auto other = others.next();
    if (!other)
        return std::nullopt;
    return attempt{*other, duration::zero()};
}

bool version_fetch::may_read_store(
    instant since, std::size_t rank, instant now) const
{
    const bool is_early = rank < this->settings.early_readers;
    const duration own_delay =
        this->settings.store_delay +
        this->settings.store_interval * static_cast<duration::rep>(rank);
    const duration delay = is_early
                               ? std::min(own_delay, this->settings.last_resort)
                               : this->settings.last_resort;
    return now - since >= delay;
}

} // namespace roseworks
