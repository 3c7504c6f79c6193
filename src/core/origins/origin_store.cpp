#include "core/origins/origin_store.hpp"

namespace roseworks
{

bool origin_store::add(
    stream_key stream, software_version software, instant began)
{
    if (!stream)
        return false;
    const auto [place, is_new] =
        this->records.try_emplace(stream, entry{software, began});
    if (is_new)
    {
        this->order.push_back(stream);
        if (this->order.size() > this->limit)
            this->drop_oldest();
        return true;
    }
    if (place->second.software == software || !place->second.software)
        return false;
    place->second.software = {};
    return true;
}

std::optional<software_version> origin_store::find(stream_key stream) const
{
    const auto found = this->records.find(stream);
    if (found == this->records.end())
        return std::nullopt;
    return found->second.software;
}

std::optional<origin_record>
origin_store::record_of(stream_key stream, instant now) const
{
    const auto found = this->records.find(stream);
    if (found == this->records.end())
        return std::nullopt;
    return origin_record{
        stream.value,
        found->second.software.value,
        duration(now - found->second.began).count()};
}

std::vector<stream_key> origin_store::streams() const
{
    return {this->order.begin(), this->order.end()};
}

void origin_store::drop_before(instant oldest)
{
    while (!this->order.empty() &&
           this->records.at(this->order.front()).began < oldest)
        this->drop_oldest();
}

void origin_store::drop_oldest()
{
    this->records.erase(this->order.front());
    this->order.pop_front();
}

} // namespace roseworks
