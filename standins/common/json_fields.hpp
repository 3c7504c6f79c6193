#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace roseworks::standins
{

/// The caller sent something that can't be read; answered with 400.
class bad_request : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A string member; `fallback` when it is missing. Throws `bad_request` when
/// it is something else.
std::string string_field(
    const boost::json::object& object,
    std::string_view name,
    std::string_view fallback = {});

/// A whole number from 0; `fallback` when it is missing. Throws `bad_request`
/// when it is something else.
std::uint64_t number_field(
    const boost::json::object& object,
    std::string_view name,
    std::uint64_t fallback = 0);

/// A number; `fallback` when it is missing. Throws `bad_request` when it is
/// something else.
double real_field(
    const boost::json::object& object, std::string_view name, double fallback);

/// A boolean; `fallback` when it is missing. Throws `bad_request` when it is
/// something else.
bool flag_field(
    const boost::json::object& object, std::string_view name, bool fallback);

} // namespace roseworks::standins
