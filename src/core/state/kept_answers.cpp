#include "core/state/kept_answers.hpp"

#include <utility>

namespace roseworks::detail
{

std::string_view kept_answers::find(const claim_key& key) const
{
    const auto found = this->bodies.find(key);
    return found == this->bodies.end() ? std::string_view()
                                       : std::string_view(found->second.text);
}

bool kept_answers::insert(
    const claim_key& key, log_offset closed, std::string body)
{
    if (body.empty() || body.size() > max_body)
        return true;
    if (!this->order.emplace(closed, key).second)
        return false;
    this->bytes += body.size() + overhead;
    this->bodies.emplace(key, answer{closed, std::move(body)});
    while (this->bytes > max_bytes)
    {
        const claim_key oldest = this->order.begin()->second;
        this->erase(oldest);
    }
    return true;
}

void kept_answers::erase(const claim_key& key)
{
    const auto found = this->bodies.find(key);
    if (found == this->bodies.end())
        return;
    this->bytes -= found->second.text.size() + overhead;
    this->order.erase(found->second.closed);
    this->bodies.erase(found);
}

} // namespace roseworks::detail
