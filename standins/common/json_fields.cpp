#include "standins/common/json_fields.hpp"

#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

namespace roseworks::standins
{

namespace
{

[[noreturn]] void refuse(std::string_view name, std::string_view expected)
{
    throw bad_request(std::string(name) + " is not " + std::string(expected));
}

/// A number of any kind.
template <class Number>
Number parsed_number(
    const boost::json::object& object,
    std::string_view name,
    Number fallback,
    std::string_view expected)
{
    const boost::json::value* const value = object.if_contains(name);
    if (value == nullptr)
    {
        return fallback;
    }
    boost::system::error_code error;
    const auto number = value->to_number<Number>(error);
    if (error)
    {
        refuse(name, expected);
    }
    return number;
}

} // namespace

std::string string_field(
    const boost::json::object& object,
    std::string_view name,
    std::string_view fallback)
{
    const boost::json::value* const value = object.if_contains(name);
    if (value == nullptr)
    {
        return std::string(fallback);
    }
    if (!value->is_string())
    {
        refuse(name, "a string");
    }
    const boost::json::string& text = value->get_string();
    return {text.data(), text.size()};
}

std::uint64_t number_field(
    const boost::json::object& object,
    std::string_view name,
    std::uint64_t fallback)
{
    return parsed_number(object, name, fallback, "a whole number");
}

double real_field(
    const boost::json::object& object, std::string_view name, double fallback)
{
    return parsed_number(object, name, fallback, "a number");
}

bool flag_field(
    const boost::json::object& object, std::string_view name, bool fallback)
{
    const boost::json::value* const value = object.if_contains(name);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_bool())
    {
        refuse(name, "true or false");
    }
    return value->get_bool();
}

} // namespace roseworks::standins
