#include "adapters/forward/rate_limit_header.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <system_error>

namespace roseworks::forward
{

namespace
{

std::optional<double> parse_number(std::string_view text)
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

server_rate_limit
parse_header(const response_head& head, const std::string& name)
{
    server_rate_limit limit;
    const auto [first, last] = head.equal_range(name);
    for (auto field = first; field != last; ++field)
    {
        const auto value = field->value();
        limit.raw_value = {value.data(), value.size()};
        const auto number = parse_number(limit.raw_value);
        if (number)
            limit.requests_per_second =
                std::min(limit.requests_per_second.value_or(*number), *number);
    }
    limit.is_malformed = first != last && !limit.requests_per_second;
    return limit;
}

} // namespace

server_rate_limit
parse_rate_limit(const response_head& head, const header_names& names)
{
    return parse_header(head, names.rate_limit);
}

std::optional<double>
parse_max_rejections(const response_head& head, const header_names& names)
{
    return parse_header(head, names.max_rejections).requests_per_second;
}

} // namespace roseworks::forward
