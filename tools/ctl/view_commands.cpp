#include "tools/common/state_tables.hpp"
#include "tools/common/trail.hpp"
#include "tools/ctl/command.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <ostream>

namespace roseworks::tools
{

namespace
{

constexpr std::chrono::milliseconds follow_wait{1000};

boost::leaf::error_id unknown_view(const std::string& name)
{
    std::string known;
    for (const state_view& view : state_views())
    {
        known += known.empty() ? "" : ", ";
        known += view.name;
    }
    return boost::leaf::new_error(
        input_error{"can't show " + name + "; known: " + known});
}

/// Records that only keep things going.
bool is_routine(const trail_entry& entry)
{
    return entry.kind == "session_renew" || entry.kind == "checkpoint_chunk";
}

/// Prints the trail as far as it goes, from where it stopped last.
class trail_printer
{
public:
    trail_printer(command_context& context, std::uint64_t first)
        : out(context.out)
        , from(first)
        , as_json(context.flag("json"))
        , all(context.flag("all"))
    {
    }

    void print(const std::vector<trail_entry>& entries)
    {
        for (; this->printed < entries.size(); ++this->printed)
        {
            const trail_entry& entry = entries[this->printed];
            const bool wanted = this->all || !is_routine(entry);
            if (wanted && entry.offset.value >= this->from)
            {
                this->print_entry(entry);
            }
        }
        this->out.flush();
    }

private:
    void print_entry(const trail_entry& entry)
    {
        if (this->as_json)
        {
            this->out << boost::json::serialize(to_json(entry)) << '\n';
            return;
        }
        this->out << entry;
    }

    std::ostream& out;
    std::uint64_t from;
    bool as_json;
    bool all;
    std::size_t printed = 0;
};

} // namespace

command_result run_show(command_context& context)
{
    const std::string given = context.text("what");
    const std::string name = given.empty() ? "fleet" : given;
    const state_view* const view = find_state_view(name);
    if (view == nullptr)
    {
        return unknown_view(name);
    }
    BOOST_LEAF_AUTO(log, context.open_log());
    BOOST_LEAF_CHECK(log->history.load());
    const text_table table = view->build(log->history);
    if (context.flag("json"))
    {
        context.out << boost::json::serialize(to_json(table)) << '\n';
        return exit_code::ok;
    }
    context.out << table;
    return exit_code::ok;
}

command_result run_audit(command_context& context)
{
    BOOST_LEAF_AUTO(first, context.number("from"));
    BOOST_LEAF_AUTO(log, context.open_log());
    trail_writer trail;
    log->history.observe(trail);
    BOOST_LEAF_CHECK(log->history.load());
    trail_printer printer(context, first);
    printer.print(trail.entries());
    while (context.flag("follow"))
    {
        BOOST_LEAF_CHECK(log->history.read_on(follow_wait));
        printer.print(trail.entries());
    }
    return exit_code::ok;
}

} // namespace roseworks::tools
