#pragma once

#include "tools/common/log_history.hpp"

#include <roseworks/record.hpp>

#include <boost/leaf/result.hpp>

#include <chrono>
#include <string_view>

namespace roseworks::tools
{

/// What became of a published record.
struct publication
{
    log_offset offset;
    fold_result result;
};

/** Appends one record and reads it back.

    The record keeps its id: while the answer of an append is lost, the log is
    read, and the same bytes are sent again when the record isn't there. The
    fold ignores a second copy, so that the outcome is that of the first.
*/
class publisher
{
public:
    /** @param to      The log; outlives this.
        @param kept    Its history, loaded; is read on. Outlives this.
        @param allowed Time for the append and for reading it back. */
    publisher(
        log_client& to, log_history& kept, std::chrono::milliseconds allowed);

    /** Publish a record.

        @param value The record.
        @return      What the fold made of it; or a `log_error`: its kind
                     `answer_lost` means that the outcome is unknown.
    */
    boost::leaf::result<publication> publish(const record& value);

private:
    bool append(std::span<const std::byte> bytes);
    bool read_on();

    log_client& client;
    log_history& history;
    std::chrono::milliseconds limit;
    log_error last_error; ///< why the last call to the log failed
};

/** Make a record with an id of its own.

    @param author  The operator's name.
    @param payload Its content.
    @return        The record, stamped now.
*/
record make_record(std::string_view author, record_payload payload);

} // namespace roseworks::tools
