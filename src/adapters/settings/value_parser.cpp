#include "adapters/settings/value_parser.hpp"

#include <algorithm>
#include <charconv>

namespace roseworks::settings
{

namespace
{

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_path_bytes = 4096;
constexpr std::size_t max_quoted_bytes = 80;

std::string quoted(std::string_view text)
{
    const bool complete = text.size() <= max_quoted_bytes;
    std::string result = "\"";
    result += text.substr(0, max_quoted_bytes);
    result += complete ? "\"" : "...\"";
    return result;
}

parsed_value rejected(std::string_view reason, std::string_view text)
{
    return {std::nullopt, std::string(reason) + ": " + quoted(text)};
}

bool is_name_character(char character)
{
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '.' ||
           character == '_' || character == '-';
}

parsed_value parse_name(const setting_row&, std::string_view text)
{
    if (text.size() > max_name_bytes)
        return rejected("too long for a name", text);
    if (!std::ranges::all_of(text, is_name_character))
        return rejected("not a name", text);
    return {std::string(text), {}};
}

parsed_value parse_path(const setting_row&, std::string_view text)
{
    if (text.size() > max_path_bytes)
        return rejected("too long for a path", text);
    if (text.find('\0') != std::string_view::npos)
        return {std::nullopt, "a path cannot contain a zero byte"};
    return {std::string(text), {}};
}

parsed_value parse_address(const setting_row& row, std::string_view text)
{
    auto address = socket_address::parse(text);
    if (!address)
    {
        return rejected(
            "not an IP address and port (host names are not resolved)", text);
    }
    if (address->port < row.min)
        return rejected("cannot connect to port 0", text);
    return {std::move(*address), {}};
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

parsed_value parse_address_list(const setting_row& row, std::string_view text)
{
    std::vector<socket_address> addresses;
    std::string_view rest = text;
    while (true)
    {
        const auto comma = rest.find(',');
        auto item = parse_address(row, trimmed(rest.substr(0, comma)));
        if (!item.value)
            return item;
        addresses.push_back(std::get<socket_address>(std::move(*item.value)));
        if (comma == std::string_view::npos)
            return {std::move(addresses), {}};
        rest = rest.substr(comma + 1);
    }
}

parsed_value parse_integer(const setting_row& row, std::string_view text)
{
    std::int64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error == std::errc::result_out_of_range && stop == end)
        return rejected("out of range", text);
    if (error != std::errc() || stop != end)
        return rejected("not an integer", text);
    if (number < row.min || number > row.max)
        return rejected("out of range", text);
    return {number, {}};
}

parsed_value parse_word(const setting_row& row, std::string_view text)
{
    const auto found = std::ranges::find(row.words, text);
    if (found == row.words.end())
        return rejected("not one of the allowed values", text);
    return {std::int64_t{found - row.words.begin()}, {}};
}

std::string join(std::span<const std::string_view> words)
{
    std::string result;
    for (const std::string_view word : words)
    {
        if (!result.empty())
            result += ", ";
        result += word;
    }
    return result;
}

std::string describe_ports(const setting_row& row)
{
    return std::to_string(row.min) + " to " + std::to_string(row.max);
}

} // namespace

parsed_value parse_value(const setting_row& row, std::string_view text)
{
    if (text.empty())
        return {std::nullopt, "the value is empty"};
    switch (row.kind)
    {
    case value_kind::name:
        return parse_name(row, text);
    case value_kind::path:
        return parse_path(row, text);
    case value_kind::address:
        return parse_address(row, text);
    case value_kind::address_list:
        return parse_address_list(row, text);
    case value_kind::integer:
        return parse_integer(row, text);
    case value_kind::word:
        return parse_word(row, text);
    }
    return {std::nullopt, "the setting has no value type"};
}

std::string describe_allowed(const setting_row& row)
{
    switch (row.kind)
    {
    case value_kind::name:
        return "1 to 64 letters, digits, '.', '_' and '-'";
    case value_kind::path:
        return "a path of at most 4096 bytes";
    case value_kind::address:
        return "an IP address and port, such as 10.0.0.1:7000 or "
               "[fd00::1]:7000, port " +
               describe_ports(row);
    case value_kind::address_list:
        return "IP addresses and ports separated by commas, port " +
               describe_ports(row);
    case value_kind::integer:
        return std::to_string(row.min) + " to " + std::to_string(row.max) +
               ' ' + std::string(row.unit);
    case value_kind::word:
        return join(row.words);
    }
    return {};
}

} // namespace roseworks::settings
