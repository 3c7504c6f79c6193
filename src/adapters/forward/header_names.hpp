#pragma once

#include <roseworks/ids.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace roseworks::forward
{

/// Names of the headers that forwarding reads or sets, as callers and backend
/// servers use them.
struct header_names
{
    std::string request_id;      ///< echoed by servers and in local responses
    std::string deadline;        ///< remaining time in milliseconds
    std::string model;           ///< model, or model/adapter
    std::string expect_instance; ///< only this server instance may run it
    std::string instance;        ///< ID of the server instance that responds
    std::string not_run;         ///< the server did not run the request
    std::string load;            ///< running, waiting, slots
    std::string rate_limit;      ///< requests per second the server accepts
    /// Rejections per second that a brittle server withstands.
    std::string max_rejections;
    std::string leaving;    ///< set in each response of a leaving server
    std::string priority;   ///< 0 to 9
    std::string last_event; ///< last event that the caller received
    /// Request ID of the attempt that brought the first event of the stream
    /// that the caller takes up.
    std::string resumes;
    std::string organisation; ///< name of the API key's holder
    std::string tokens;       ///< of the prompt; maximum for the response
    std::string prompt_parts; ///< parts of the prompt, in order
    /// Reads the value of `prompt_parts`.
    /// @return Hashes of the parts that other requests may share.
    std::vector<fingerprint> (*parse_prompt_parts)(std::string_view) = nullptr;
    std::vector<std::string> reserved; ///< dropped from callers' requests
};

} // namespace roseworks::forward
