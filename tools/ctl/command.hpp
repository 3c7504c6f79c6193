#pragma once

#include "tools/common/exit_code.hpp"
#include "tools/common/log_history.hpp"
#include "tools/common/tls_options.hpp"

#include <roseworks/operator_key.hpp>

#include <boost/leaf/result.hpp>
#include <cxxopts.hpp>

#include <iosfwd>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::tools
{

/// The log and what was read of it, for one run of a command.
struct log_session
{
    log_session(
        const endpoint& server,
        std::chrono::milliseconds timeout,
        tls_contexts_ptr contexts);

    tls_contexts_ptr secured; ///< null: plain HTTP
    log_client client;
    log_history history;
};

/// What a command gets.
class command_context
{
public:
    /** @param given The parsed options.
        @param to    Where results are written. */
    command_context(const cxxopts::ParseResult& given, std::ostream& to);

    /// @return The option's value; its default when it wasn't given.
    std::string text(const std::string& name) const;

    bool flag(const std::string& name) const;

    /// @return The values of an option that may be given several times.
    std::vector<std::string> texts(const std::string& name) const;

    /// @return The option's value, or an `input_error`.
    boost::leaf::result<std::uint64_t> number(const std::string& name) const;

    /// @return A positional argument, or an `input_error` when it is missing.
    boost::leaf::result<std::string> argument(const std::string& name) const;

    std::chrono::milliseconds timeout() const;

    /// @return The operators' secret key, empty without `--key-file`.
    boost::leaf::result<std::optional<operator_signing_key>> key() const;

    /// @return Contexts for connections to routers, null for plain HTTP; or an
    ///         `input_error`.
    boost::leaf::result<tls_contexts_ptr> router_tls() const;

    /// @return The log that `--log` names, nothing read of it yet.
    boost::leaf::result<std::unique_ptr<log_session>> open_log() const;

    std::ostream& out;

private:
    const cxxopts::ParseResult& arguments;
};

using command_result = boost::leaf::result<exit_code>;

/// One subcommand.
struct command
{
    std::string_view name;
    std::string_view argument; ///< positional; empty for none
    std::string_view argument_help;
    std::string_view summary;
    bool uses_log = true;
    void (*add_options)(cxxopts::OptionAdder& options) = nullptr;
    command_result (*run)(command_context& context) = nullptr;
    bool many_arguments = false; ///< the positional one may come several times
};

/// All subcommands, in the order of `--help`.
std::span<const command> commands();

/// @return The options that a subcommand takes.
cxxopts::Options options_of(const command& which);

/// @return The file's content, or an `input_error`.
boost::leaf::result<std::string> read_file(const std::string& path);

// Handlers, by the table in commands.cpp.
command_result run_check(command_context& context);
command_result run_fields(command_context& context);
command_result run_plan(command_context& context);
command_result run_apply(command_context& context);
command_result run_show(command_context& context);
command_result run_explain(command_context& context);
command_result run_drain(command_context& context);
command_result run_unblock(command_context& context);
command_result run_gone(command_context& context);
command_result run_key_make(command_context& context);
command_result run_key_add(command_context& context);
command_result run_key_retire(command_context& context);
command_result run_audit(command_context& context);
command_result run_losses(command_context& context);
command_result run_story(command_context& context);
command_result run_completion(command_context& context);

} // namespace roseworks::tools
