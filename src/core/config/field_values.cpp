#include "core/config/field_values.hpp"

#include <boost/url/ipv4_address.hpp>
#include <boost/url/ipv6_address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace roseworks::detail
{

namespace
{

constexpr std::string_view blanks = " \t\r";

/// @return Empty unless the whole text is one decimal number.
template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc() || stop != end)
    {
        return std::nullopt;
    }
    return value;
}

template <class Number>
std::string
read_number(Number& value, std::string_view text, const field_rule& rule)
{
    const bool digits =
        !text.empty() && std::all_of(
                             text.begin(),
                             text.end(),
                             [](char letter)
                             {
                                 return letter >= '0' && letter <= '9';
                             });
    if (!digits)
    {
        return "not a whole number: " + std::string(text);
    }
    const auto number = parse_number<std::uint64_t>(text);
    if (!number || *number < rule.low || *number > rule.high)
    {
        return "out of range: " + std::string(text);
    }
    value = static_cast<Number>(*number);
    return {};
}

bool is_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
    if (!port || *port == 0)
    {
        return false;
    }
    const std::string_view ip = text.substr(0, colon);
    if (ip.starts_with('[') && ip.ends_with(']'))
    {
        const std::string_view inside = ip.substr(1, ip.size() - 2);
        return boost::urls::parse_ipv6_address(inside).has_value();
    }
    return boost::urls::parse_ipv4_address(ip).has_value();
}

std::string read_backend(service_backend& backend, std::string_view text)
{
    std::array<std::string_view, 3> words;
    for (std::string_view& word : words)
    {
        word = text.substr(0, text.find_first_of(blanks));
        text = trim(text.substr(word.size()));
    }
    const auto& [address, vm, data_centre] = words;
    if (!is_address(address))
    {
        return "not ip:port: " + std::string(address);
    }
    if (!is_name(vm) || !is_name(data_centre) || !text.empty())
    {
        return "not `ip:port vm data_centre`";
    }
    backend = {std::string(address), std::string(vm), std::string(data_centre)};
    return {};
}

/// Reads one of two words.
template <class Value>
std::string read_word(
    Value& value,
    std::string_view text,
    std::string_view first_word,
    Value first,
    std::string_view second_word,
    Value second)
{
    if (text != first_word && text != second_word)
    {
        return "unknown word: " + std::string(text);
    }
    value = text == first_word ? first : second;
    return {};
}

} // namespace

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    const std::size_t last = text.find_last_not_of(blanks);
    return text.substr(first, last - first + 1);
}

std::string
read_value(std::uint16_t& value, std::string_view text, const field_rule& rule)
{
    return read_number(value, text, rule);
}

std::string
read_value(std::uint32_t& value, std::string_view text, const field_rule& rule)
{
    return read_number(value, text, rule);
}

std::string read_value(bool& value, std::string_view text, const field_rule&)
{
    return read_word(value, text, "yes", true, "no", false);
}

std::string
read_value(std::string& value, std::string_view text, const field_rule& rule)
{
    const bool address = rule.allowed == address_form;
    if (address && !is_address(text))
    {
        return "not ip:port: " + std::string(text);
    }
    if (!address && !is_name(text))
    {
        return "not a name: " + std::string(text);
    }
    value = text;
    return {};
}

std::string
read_value(fencing_kind& value, std::string_view text, const field_rule&)
{
    return read_word(
        value,
        text,
        "checks",
        fencing_kind::checks,
        "ignores",
        fencing_kind::ignores);
}

std::string
read_value(priority& value, std::string_view text, const field_rule&)
{
    for (const priority known :
         {priority::urgent, priority::normal, priority::batch})
    {
        if (to_string(known) == text)
        {
            value = known;
            return {};
        }
    }
    return "unknown word: " + std::string(text);
}

std::string
read_value(placement_kind& value, std::string_view text, const field_rule&)
{
    for (const placement_kind known :
         {placement_kind::unset,
          placement_kind::fixed_ttl,
          placement_kind::break_even,
          placement_kind::gap_cost,
          placement_kind::gap_cost_preload})
    {
        if (to_string(known) == text)
        {
            value = known;
            return {};
        }
    }
    return "unknown word: " + std::string(text);
}

std::string read_value(
    std::vector<service_backend>& value,
    std::string_view text,
    const field_rule&)
{
    std::vector<service_backend> read;
    while (!text.empty())
    {
        const std::string_view piece = text.substr(0, text.find(';'));
        std::string problem = read_backend(read.emplace_back(), trim(piece));
        if (!problem.empty())
        {
            return problem;
        }
        text.remove_prefix(std::min(text.size(), piece.size() + 1));
    }
    if (read.empty())
    {
        return "no backend server";
    }
    value = std::move(read);
    return {};
}

std::string write_value(std::uint16_t value)
{
    return std::to_string(value);
}

std::string write_value(std::uint32_t value)
{
    return std::to_string(value);
}

std::string write_value(bool value)
{
    return value ? "yes" : "no";
}

std::string write_value(const std::string& value)
{
    return value;
}

std::string write_value(fencing_kind value)
{
    return value == fencing_kind::checks ? "checks" : "ignores";
}

std::string write_value(priority value)
{
    return std::string(to_string(value));
}

std::string write_value(placement_kind value)
{
    return std::string(to_string(value));
}

std::string write_value(const std::vector<service_backend>& value)
{
    std::string text;
    for (const service_backend& backend : value)
    {
        text += text.empty() ? "" : " ; ";
        text += backend.address + ' ' + backend.vm + ' ' + backend.data_centre;
    }
    return text;
}

} // namespace roseworks::detail
