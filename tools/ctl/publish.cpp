#include "tools/ctl/publish.hpp"

#include "tools/common/trail.hpp"

#include <roseworks/change_parts.hpp>
#include <roseworks/names.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <ostream>
#include <string>
#include <utility>

namespace roseworks::tools
{

namespace
{

/// What stands when a part of a larger change was not accepted.
void print_rest(std::ostream& out, std::size_t in_force, std::size_t total)
{
    if (in_force == 0)
    {
        return;
    }
    out << "accepted before: " << in_force << " of " << total
        << " changes, which stay; plan and apply the file again for the rest\n";
}

} // namespace

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

boost::leaf::result<std::vector<config_change>>
split_within_limit(config_change whole)
{
    return boost::leaf::try_handle_some(
        [&]
        {
            return split_change(std::move(whole));
        },
        [](const oversized_entity& entity)
            -> boost::leaf::result<std::vector<config_change>>
        {
            return boost::leaf::new_error(input_error{
                std::string(to_string(entity.kind)) + ' ' + entity.name +
                ": its record of " + std::to_string(entity.bytes) +
                " bytes is over the limit of " +
                std::to_string(max_part_bytes)});
        });
}

boost::leaf::result<publication> publish_changes(
    command_context& context,
    log_session& log,
    std::vector<entity_change> changes)
{
    const std::size_t total = changes.size();
    config_change whole;
    whole.author = context.text("author");
    whole.note = context.text("note");
    whole.changes = std::move(changes);
    BOOST_LEAF_AUTO(parts, split_within_limit(std::move(whole)));
    std::size_t in_force = 0;
    publication published;
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        const std::size_t size = parts[i].changes.size();
        if (parts.size() > 1)
        {
            context.out << "part " << i + 1 << " of " << parts.size() << " ("
                        << size << " changes): " << std::flush;
        }
        auto result = publish_and_print(context, log, std::move(parts[i]));
        if (!result || code_of(*result) != exit_code::ok)
        {
            print_rest(context.out, in_force, total);
            return result;
        }
        published = *result;
        in_force += size;
    }
    return published;
}

} // namespace roseworks::tools
