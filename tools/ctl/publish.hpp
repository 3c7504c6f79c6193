#pragma once

#include "tools/common/publisher.hpp"
#include "tools/ctl/command.hpp"

namespace roseworks::tools
{

/** Publish one record and print what became of it.

    @param context The command's.
    @param log     The log, its history loaded.
    @param payload The record's content.
    @return        What became of it, or a `log_error`.
*/
boost::leaf::result<publication> publish_and_print(
    command_context& context, log_session& log, record_payload payload);

/// Prints the author and the offset of a change that won.
void print_winner(
    std::ostream& out, const log_history& history, log_offset winner);

/// @return The exit code for a published record.
exit_code code_of(const publication& published);

/** Publish operators' changes.

    @param context The command's; gives author, note and key.
    @param log     The log, its history loaded.
    @param changes The changes, with their expected revisions.
    @return        What became of them, or a `log_error` or `input_error`.
*/
boost::leaf::result<publication> publish_changes(
    command_context& context,
    log_session& log,
    std::vector<entity_change> changes);

} // namespace roseworks::tools
