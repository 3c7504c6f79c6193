#pragma once

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::edge
{

/// The members of a completion request that the router uses. The body itself is
/// passed to the engine unmodified.
struct completion_body
{
    std::string model;
    bool stream = false;
    std::uint32_t max_tokens = 16;
    std::uint32_t prompt_bytes = 0;
    std::uint64_t prefix = 0; ///< hash of model and prompt start; never 0
};

/// Parses the body of `/v1/completions` or `/v1/chat/completions`.
/// @param body The JSON text, with at most 32 levels of nesting.
/// @param chat Whether `messages` is required instead of `prompt`.
/// @return     The values; `call_problem` with 400, whose detail names the
///             member.
boost::leaf::result<completion_body>
parse_completion_body(std::string_view body, bool chat);

} // namespace roseworks::edge
