// The places that this router holds at brittle servers.
#include "core/quota/quota_client.hpp"

#include <algorithm>

namespace roseworks
{

namespace
{

/// Places in one message, so that it fits a datagram.
constexpr std::size_t max_place_usages = 16;

/// Places that didn't change are repeated up to this number in a message.
constexpr std::size_t max_repeated_usages = 4;

/// For how long a change of the held places is repeated.
constexpr duration change_report_time = std::chrono::milliseconds(1000);

} // namespace

void quota_client::decided(const quota_draw& draw, bool is_allowed, instant now)
{
    if (!is_places_account(draw.account))
        return;
    held_places& one = this->places[draw.account];
    if (one.pending_draw == draw.id)
        one.pending_draw = 0;
    one.held += is_allowed ? 1 : 0;
    this->changed(draw.account, one, now);
}

void quota_client::changed(
    const std::string& account, held_places& one, instant now)
{
    one.changed_at = now;
    if (std::ranges::find(this->unreported_places, account) ==
        this->unreported_places.end())
        this->unreported_places.push_back(account);
}

void quota_client::release_place(
    std::string_view account, bool rejected, instant now)
{
    const auto found = this->places.find(account);
    if (found == this->places.end())
        return;
    held_places& one = found->second;
    one.held -= one.held > 0 ? 1 : 0;
    this->changed(found->first, one, now);
    if (rejected)
    {
        ++one.rejections;
        one.last_rejection = now;
    }
    // Other routers may wait for the place.
    if (this->current_index < this->contacts.size())
        this->send_query(this->contacts[this->current_index], {}, now);
}

void quota_client::reorder_place(
    std::string_view account, const draw_order& order, instant now)
{
    const auto place = this->places.find(account);
    if (place == this->places.end())
        return;
    const auto found = this->waiting.find(place->second.pending_draw);
    if (found == this->waiting.end())
        return;
    pending_draw& pending = found->second;
    pending.order = order;
    pending.order.id = found->first;
    if (order.objective_in_us != draw_order::no_objective)
        pending.order.objective_in_us +=
            duration(now - pending.created_at).count();
    if (this->current_index < this->contacts.size())
        this->send_query(
            this->contacts[this->current_index], {pending.draw}, now);
}

void quota_client::cancel_place(std::string_view account, instant now)
{
    const auto found = this->places.find(account);
    if (found == this->places.end() || found->second.pending_draw == 0)
        return;
    this->resolve({found->second.pending_draw, false, 0}, now);
    if (this->current_index < this->contacts.size())
        this->send_query(this->contacts[this->current_index], {}, now);
}

place_usage quota_client::usage_of(
    const std::string& account, const held_places& one, instant now)
{
    return {
        account,
        one.held,
        one.pending_draw,
        one.rejections,
        duration(now - one.last_rejection).count()};
}

std::vector<place_usage> quota_client::place_usages(instant now)
{
    std::vector<place_usage> usages;
    const std::size_t reported =
        std::min(this->unreported_places.size(), max_place_usages);
    for (std::size_t i = 0; i < reported; ++i)
    {
        const auto found = this->places.find(this->unreported_places[i]);
        if (found != this->places.end())
            usages.push_back(this->usage_of(found->first, found->second, now));
    }
    this->unreported_places.erase(
        this->unreported_places.begin(),
        this->unreported_places.begin() +
            static_cast<std::ptrdiff_t>(reported));
    // The others are repeated in turn, since a message may have been lost.
    auto next = this->places.upper_bound(this->last_reported_place);
    for (std::size_t i = 0;
         i < this->places.size() && usages.size() < max_repeated_usages;
         ++i)
    {
        if (next == this->places.end())
            next = this->places.begin();
        const held_places& one = next->second;
        if (one.held > 0 || now - one.changed_at < change_report_time)
            usages.push_back(this->usage_of(next->first, one, now));
        this->last_reported_place = next->first;
        ++next;
    }
    return usages;
}

} // namespace roseworks
