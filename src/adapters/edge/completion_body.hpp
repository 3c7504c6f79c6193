#pragma once

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::edge
{

/// What the router reads of a completion's body. The body itself is passed to
/// the engine as it came.
struct completion_body
{
    std::string model;
    bool stream = false;
    std::uint32_t max_tokens = 16;
    std::uint32_t prompt_bytes = 0;
    std::uint64_t prefix = 0; ///< hash of the prompt's head; never 0
};

/// Reads the body of `/v1/completions` or `/v1/chat/completions`.
/// @param body the JSON text; nested at most 32 deep.
/// @param chat whether `messages` is asked for instead of `prompt`.
/// @return     the values; `call_problem` with 400 which names the member.
boost::leaf::result<completion_body>
parse_completion_body(std::string_view body, bool chat);

} // namespace roseworks::edge
