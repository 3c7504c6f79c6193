#include "adapters/peers/mac_keys.hpp"

#include <boost/algorithm/hex.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <charconv>
#include <iterator>
#include <optional>

namespace roseworks
{

namespace
{

constexpr std::size_t min_hex_digits = 32;
constexpr std::size_t max_hex_digits = 128;

std::optional<std::uint8_t> parse_key_number(std::string_view text)
{
    unsigned value = 0;
    const auto* const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || rest != end)
        return std::nullopt;
    if (value < 1 || value > 255)
        return std::nullopt;
    return static_cast<std::uint8_t>(value);
}

std::optional<std::vector<std::byte>> parse_key_bytes(const std::string& text)
{
    if (text.size() < min_hex_digits || text.size() > max_hex_digits)
        return std::nullopt;
    std::string decoded;
    try
    {
        boost::algorithm::unhex(text, std::back_inserter(decoded));
    }
    catch (const boost::algorithm::hex_decode_error&)
    {
        return std::nullopt;
    }
    const auto* begin = reinterpret_cast<const std::byte*>(decoded.data());
    return std::vector<std::byte>(begin, begin + decoded.size());
}

mac_key_error make_error(
    std::string_view path, std::string_view key, std::string_view expected)
{
    std::string text(path);
    text.append(": [keys] ").append(key).append(": ").append(expected);
    return mac_key_error{std::move(text)};
}

boost::leaf::result<mac_keys>
read_keys(std::string_view path, const boost::property_tree::ptree& section)
{
    mac_keys result;
    for (const auto& [name, value] : section)
    {
        if (name == "current")
            continue;
        const auto number = parse_key_number(name);
        if (!number)
            return boost::leaf::new_error(
                make_error(path, name, "expected a number from 1 to 255"));
        auto bytes = parse_key_bytes(value.data());
        if (!bytes)
            return boost::leaf::new_error(
                make_error(path, name, "expected 32 to 128 hex digits"));
        result.keys.emplace(*number, std::move(*bytes));
    }
    const auto current =
        parse_key_number(section.get<std::string>("current", ""));
    if (!current || !result.keys.contains(*current))
        return boost::leaf::new_error(
            make_error(path, "current", "expected the number of a listed key"));
    result.current = *current;
    return result;
}

} // namespace

mac_keys mac_keys::unauthenticated()
{
    mac_keys result;
    result.keys.emplace(no_key, std::vector<std::byte>(1));
    return result;
}

boost::leaf::result<mac_keys> mac_keys::load(std::string_view path)
{
    boost::property_tree::ptree tree;
    try
    {
        boost::property_tree::read_ini(std::string(path), tree);
    }
    catch (const boost::property_tree::ini_parser_error& error)
    {
        return boost::leaf::new_error(mac_key_error{error.what()});
    }
    const auto section = tree.get_child_optional("keys");
    if (!section)
        return boost::leaf::new_error(
            make_error(path, "(section)", "not found in the file"));
    return read_keys(path, *section);
}

} // namespace roseworks
