#pragma once

#include "standins/common/service.hpp"

#include <cxxopts.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace roseworks::standins
{

using service_factory =
    std::function<std::unique_ptr<service>(const cxxopts::ParseResult&)>;

/// Options with `--help` and `--version`.
cxxopts::Options
make_options(const std::string& name, const std::string& description);

/// A text option with its default.
std::shared_ptr<cxxopts::Value> text_value(const std::string& fallback);

/// A whole-number option, read as `std::uint64_t`, with its default.
std::shared_ptr<cxxopts::Value> number_value(std::uint64_t fallback);

/// Parses `address:port` with a numeric address; throws `bad_request`.
asio::ip::tcp::endpoint parse_endpoint(std::string_view text);

/// Splits a list at its commas; empty pieces are left out.
std::set<std::string> split_list(std::string_view text);

/// Prints `<label> 127.0.0.1:<port>` and flushes the line.
void announce(std::string_view label, std::uint16_t port);

/// Runs one stand-in until SIGTERM or SIGINT.
///
/// @param argc    as given to `main`.
/// @param argv    as given to `main`.
/// @param options the program's options, without the listening address.
/// @param label   names the option of the HTTP server's address and the line
///                that is printed once it listens: `listen` or `control`.
/// @param factory builds the service from the parsed options.
/// @return        the exit code: 0, or 2 for wrong options.
int run_program(
    int argc,
    char** argv,
    cxxopts::Options& options,
    std::string_view label,
    const service_factory& factory);

} // namespace roseworks::standins
