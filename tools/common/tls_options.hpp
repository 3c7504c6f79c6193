#pragma once

#include "adapters/tls/context_source.hpp"

#include <boost/leaf/result.hpp>
#include <cxxopts.hpp>

#include <memory>
#include <string>

namespace roseworks::tools
{

using tls_contexts_ptr = std::unique_ptr<tls::context_source>;

/// Adds the options of the certificate that a tool shows, and of who signs one
/// kind of server.
/// @param server Begins the option's name: `log` for `--log-ca-file`.
void add_ca_option(cxxopts::OptionAdder& options, const std::string& server);
void add_certificate_options(cxxopts::OptionAdder& options);

/** Read the files that the options name.

    @param arguments The parsed options.
    @param server    As given to `add_ca_option`.
    @return          Contexts for connections to those servers, null for plain
                     HTTP; or an `input_error` with option and file.
*/
boost::leaf::result<tls_contexts_ptr>
load_tls(const cxxopts::ParseResult& arguments, const std::string& server);

} // namespace roseworks::tools
