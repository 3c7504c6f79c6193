#pragma once

#include "tests/soak/call_record.hpp"

#include <string>

namespace roseworks::test
{

/// How a call ended, for its caller.
enum class call_outcome
{
    whole,     ///< the whole answer
    refused,   ///< a refusal or an error that says so
    cut,       ///< the connection ended before the answer did
    unreached, ///< no connection or no answer at all
    dropped,   ///< no final answer within the limit
    untrue,    ///< an answer that isn't what it says it is
};

/// What a call's answer is worth.
struct answer_check
{
    call_outcome outcome = call_outcome::whole;
    std::string verdict;
    std::string reason; ///< of a refusal
    std::string fault;  ///< of an untrue answer
};

/// Judge an answer by its call alone: tokens are counted and must carry the
/// hash of the call's own prompt, streams must end as agreed.
answer_check check_answer(const call_record& call);

} // namespace roseworks::test
