#pragma once

#include "core/trace/trace_profile.hpp"
#include "tools/common/http_call.hpp"

#include <boost/leaf/result.hpp>
#include <cxxopts.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace roseworks::tools
{

/// Routers, and the engines whose ledgers judge what they say.
struct load_target
{
    std::vector<endpoint> routers;
    std::vector<endpoint> engines;
    std::optional<endpoint> log; ///< tells how many replicas are declared
};

/// What to send, where and for how long.
struct load_options
{
    load_target target;
    load_target against;      ///< compare mode: the second; empty routers: none
    std::uint64_t rounds = 1; ///< compare mode: slices, each on both in turn
    trace_profile profile;
    double scale = 1; ///< of `scaled`: the two-year size is divided by this
    std::uint64_t seed = 1;
    double from_hour = 0; ///< of the trace
    double speed = 1;     ///< trace time against real time
    std::chrono::seconds length{10};
    std::size_t max_requests = 10'000;
    std::size_t max_in_flight = 1'000;
    std::uint32_t max_tokens = 16;
    std::uint32_t max_prompt_chars = 2'000;
    std::chrono::milliseconds deadline{30'000};
    double once_share = 0.1; ///< requests with an idempotency key
    bool stream = true;
    std::string json_file; ///< empty: none
    std::string html_file; ///< empty: none
};

/// @return The options that the program knows, for `--help`.
cxxopts::Options known_load_options();

/** Check what the user gave.

    @param given Parsed arguments.
    @return      The options, or an `input_error` that names the option.
*/
boost::leaf::result<load_options>
read_load_options(const cxxopts::ParseResult& given);

/// @return Profile, scale and seed, for a title.
std::string describe_trace(const load_options& options);

/** The options of one slice in compare mode.

    @param options What the user gave; checked for all the slices.
    @param slice   From 0.
    @return        The same, but begun where the slice before it ends.
*/
load_options slice_options(const load_options& options, std::uint64_t slice);

} // namespace roseworks::tools
