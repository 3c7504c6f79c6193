#pragma once

#include "tests/support/fleet.hpp"
#include "tests/support/http_call.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::test
{

/// A chat completion for `model` with this prompt.
http_call completion(std::string_view model, std::string_view prompt);

/// A call to the plain service `s1` under an idempotency key.
http_call dispatch(std::string_view key, std::string_view body = "{}");

/// One call of a burst.
struct addressed_call
{
    std::string address;
    http_call call;
};

/// Send all at once, each on a thread of its own; answers in the same order.
std::vector<http_reply> send_all(const std::vector<addressed_call>& calls);

/// @return Runs of a request id in an engine's or service's ledger.
std::uint64_t runs_of(std::string_view standin, std::string_view request_id);

/// @return All runs in a service's ledger under an idempotency key.
std::uint64_t runs_of_key(std::string_view service, std::string_view key);

/// @return The most replicas of a servable that were resident at once on each
///         engine, added up.
std::uint64_t resident_peak(const fleet& nodes, std::string_view servable);

/// @return Whether a reply refuses with this verdict and reason.
bool refused(
    const http_reply& reply, std::string_view verdict, std::string_view reason);

} // namespace roseworks::test
