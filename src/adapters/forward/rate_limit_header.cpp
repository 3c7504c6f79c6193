#include "adapters/forward/rate_limit_header.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <system_error>

namespace roseworks::forward
{

namespace
{

std::optional<double> parse(std::string_view text)
{
    double number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] =
        std::from_chars(text.data(), end, number, std::chars_format::fixed);
    const bool is_number =
        error == std::errc() && stop == end && std::isfinite(number);
    if (!is_number || number < 0)
        return std::nullopt;
    return number;
}

} // namespace

named_rate_limit
read_rate_limit(const answer_head& head, const header_dialect& names)
{
    named_rate_limit named;
    const auto [first, last] = head.equal_range(names.rate_limit);
    for (auto field = first; field != last; ++field)
    {
        const auto value = field->value();
        named.text = {value.data(), value.size()};
        const auto number = parse(named.text);
        if (number)
            named.per_second =
                std::min(named.per_second.value_or(*number), *number);
    }
    named.is_malformed = first != last && !named.per_second;
    return named;
}

} // namespace roseworks::forward
