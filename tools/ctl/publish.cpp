#include "tools/ctl/publish.hpp"

#include "tools/common/trail.hpp"

#include <ostream>

namespace roseworks::tools
{

void print_winner(
    std::ostream& out, const log_history& history, log_offset winner)
{
    const history_entry* const entry = history.find(winner);
    const std::string author = entry != nullptr && entry->value
                                   ? author_name(history.state(), *entry->value)
                                   : "unknown author";
    out << "won by " << author << " at offset " << winner.value << '\n';
}

boost::leaf::result<publication> publish_and_print(
    command_context& context, log_session& log, record_payload payload)
{
    publisher sender(log.client, log.history, context.timeout());
    record value = make_record(context.text("author"), std::move(payload));
    BOOST_LEAF_AUTO(key, context.key());
    if (key && !key->sign(value))
    {
        return boost::leaf::new_error(input_error{"the key can't sign this"});
    }
    BOOST_LEAF_AUTO(published, sender.publish(value));
    const fold_result& result = published.result;
    const std::uint64_t offset = published.offset.value;
    if (result.status == fold_status::accepted)
    {
        context.out << "accepted at offset " << offset << '\n';
        return published;
    }
    context.out << to_string(result.status) << " at offset " << offset << ": "
                << to_string(result.reason);
    if (!result.detail.empty())
    {
        context.out << " (" << result.detail << ')';
    }
    context.out << '\n';
    if (result.winner)
    {
        print_winner(context.out, log.history, result.winner);
    }
    return published;
}

exit_code code_of(const publication& published)
{
    return published.result.status == fold_status::accepted
               ? exit_code::ok
               : exit_code::rejected;
}

boost::leaf::result<publication> publish_changes(
    command_context& context,
    log_session& log,
    std::vector<entity_change> changes)
{
    config_change change;
    change.author = context.text("author");
    change.note = context.text("note");
    change.changes = std::move(changes);
    return publish_and_print(context, log, std::move(change));
}

} // namespace roseworks::tools
