#pragma once

#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// What the measurements of `bench_router` share.
namespace roseworks::bench
{

inline constexpr double to_ms = 1000;

/// Throw `std::runtime_error` unless the condition holds.
void require(bool holds, const std::string& what);

/// Apply records on all routers, which have to be running.
void publish(test::fleet& nodes, const std::string& records);

/// @return A number of a stand-in's ledger; 0 when it isn't there.
std::uint64_t ledger_number(std::string_view standin, std::string_view key);

/// @return The text of a model's record.
std::string
model_record(const std::string& name, int least, int most, int streams = 64);

/// Call until one answer is good, so that what follows is warm.
void warm(const std::string& address, const test::http_call& call);

/// Repeat calls on several connections for a time.
/// @param make Builds a call from the caller's and the call's number.
/// @return     Seconds of each good answer.
std::vector<double> call_for(
    const std::vector<std::string>& addresses,
    std::size_t callers,
    double seconds,
    const std::function<test::http_call(std::size_t, std::size_t)>& make);

} // namespace roseworks::bench
