#pragma once

#include <string>
#include <vector>

namespace roseworks::forward
{

/// What callers and backend servers call the headers that forwarding reads or
/// sets.
struct header_dialect
{
    std::string request_id;      ///< echoed by servers and in own answers
    std::string deadline;        ///< milliseconds that are left
    std::string model;           ///< model, or model/adapter
    std::string expect_instance; ///< only this run may run the request
    std::string instance;        ///< id of the run that answers
    std::string not_run;         ///< the server didn't run the request
    std::string load;            ///< running, waiting, slots
    std::string rate_limit;      ///< requests a second that the server takes
    std::string priority;        ///< 0 to 9
    std::string last_event;      ///< last event that the caller has
    std::string organisation;    ///< name of the one that holds the key
    std::string tokens;          ///< of the prompt, and most of the answer
    std::vector<std::string> reserved; ///< left out of callers' requests
};

} // namespace roseworks::forward
