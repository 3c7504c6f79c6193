#include "core/request/stream_position.hpp"

#include <charconv>

namespace roseworks
{

namespace
{

constexpr std::size_t max_tag_bytes = 256;

std::optional<std::uint64_t> parse_id(std::string_view text)
{
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

} // namespace

bool stream_position::begin_run(std::string_view tag)
{
    // The caller has no event of the earlier run, so this one starts afresh.
    if (!this->last_accepted)
    {
        this->runs = 1;
        this->can_resume = !tag.empty() && tag.size() <= max_tag_bytes;
        this->run_tag = this->can_resume ? tag : std::string_view();
        return true;
    }
    ++this->runs;
    const bool same = this->can_resume && tag == this->run_tag;
    this->can_resume = same;
    return same;
}

bool stream_position::accept(std::string_view id)
{
    const auto number = parse_id(id);
    const bool follows =
        number && (!this->last_accepted || *number == *this->last_accepted + 1);
    if (this->is_continuation() && !follows)
    {
        this->can_resume = false;
        return false;
    }
    this->can_resume = this->can_resume && follows;
    if (number)
        this->last_accepted = number;
    return true;
}

} // namespace roseworks
