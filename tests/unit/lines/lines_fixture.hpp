#pragma once

#include "tools/lines/log_line.hpp"

#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::tools::tests
{

/// Lines of a played day about ten requests, drawn by chance of all that were
/// late, refused or failed.
inline std::vector<log_line> recorded_lines()
{
    std::ifstream file(
        std::string(ROSEWORKS_SOURCE_DIR) +
        "/tests/unit/lines/ten_lost_requests.log");
    std::vector<log_line> lines;
    std::string text;
    while (std::getline(file, text))
    {
        if (auto line = parse_log_line(text))
            lines.push_back(std::move(*line));
    }
    return lines;
}

inline log_line line_of(std::string_view name, std::string_view fields)
{
    const std::string text = R"({"time":100.0,"vm":"r1","name":")" +
                             std::string(name) + R"(","fields":{)" +
                             std::string(fields) + "}}";
    return *parse_log_line(text);
}

} // namespace roseworks::tools::tests
