#include "tools/common/trail.hpp"

#include <roseworks/plan.hpp>

#include <boost/json/array.hpp>

#include <algorithm>
#include <ostream>

namespace roseworks::tools
{

namespace
{

/// Fills the subjects and the cause of an entry from the record's payload.
struct payload_describer
{
    const fleet_state& state;
    trail_entry& entry;

    void subject(std::string_view kind, std::string_view name) const
    {
        this->entry.subjects.push_back(
            std::string(kind) + ' ' + std::string(name));
    }

    void engine(engine_id id) const
    {
        this->subject("engine", engine_name(this->state, id));
    }

    void router(session_id id) const
    {
        this->subject("router", session_name(this->state, id));
    }

    /// The replica and the model or adapter it is of.
    void replica(replica_id id) const
    {
        this->subject("replica", std::to_string(id.value));
        const auto view = this->state.replica(id);
        if (view)
        {
            this->subject("model", servable_name(this->state, view->servable));
            this->engine(view->engine);
        }
        else if (const auto granted = this->state.granted_model(id))
        {
            this->subject(
                "model", servable_name(this->state, granted->servable));
            this->engine(granted->engine);
        }
    }

    void operator()(const unknown_record& value) const
    {
        this->entry.cause = "kind " + std::to_string(value.kind);
    }

    void operator()(const config_change& value) const
    {
        this->entry.cause = value.note;
        for (const entity_change& change : value.changes)
        {
            this->subject(to_string(change.kind), change.name);
            this->add_differences(change);
        }
    }

    void operator()(const router_join& value) const
    {
        this->subject("router", value.name);
        this->entry.cause = "starts at " + value.http_address;
    }

    void operator()(const router_leave& value) const
    {
        this->router(value.session);
        this->entry.cause = "stops cleanly";
    }

    void operator()(const router_gone& value) const
    {
        this->router(value.session);
        this->entry.cause = value.evidence;
    }

    void operator()(const session_renew& value) const
    {
        this->router(value.session);
    }

    void operator()(const lease_acquire& value) const
    {
        this->engine(value.engine);
        this->router(value.session);
        if (value.previous)
        {
            this->entry.cause =
                "after " + session_name(this->state, value.previous);
        }
    }

    void operator()(const lease_release& value) const
    {
        this->engine(value.engine);
        this->router(value.session);
    }

    void operator()(const replica_decide& value) const
    {
        this->subject("model", servable_name(this->state, value.servable));
        this->engine(value.engine);
        this->entry.cause = to_string(value.urgency);
    }

    void operator()(const replica_report& value) const
    {
        this->replica(value.replica);
        this->entry.cause = "to " + std::string(to_string(value.to));
        if (!value.cause.empty())
        {
            this->entry.cause += ": " + value.cause;
        }
    }

    void operator()(const claim_open& value) const
    {
        this->subject("claim", to_hex(value.key));
    }

    void operator()(const claim_close& value) const
    {
        this->subject("claim", to_hex(value.key));
        this->entry.cause = to_string(value.outcome);
    }

    void operator()(const request_suspect& value) const
    {
        this->subject("request", to_hex(value.request.value));
        if (value.engine)
        {
            this->engine(value.engine);
        }
    }

    void operator()(const request_unblock& value) const
    {
        this->subject("request", to_hex(value.request.value));
    }

    void operator()(const operator_key_change& value) const
    {
        this->subject("operators' key", std::to_string(value.number));
        this->entry.cause =
            value.key.empty() ? "retired" : "added " + key_hex(value.key);
    }

    void operator()(const checkpoint_chunk& value) const
    {
        this->entry.cause = "of offset " + std::to_string(value.at.value) +
                            ", part " + std::to_string(value.index + 1) +
                            " of " + std::to_string(value.count);
    }

    void operator()(const grant_open& value) const
    {
        this->engine(value.engine);
        this->router(value.session);
        this->entry.cause = value.memory_mib == 0
                                ? "closed"
                                : std::to_string(value.memory_mib) + " MiB, " +
                                      std::to_string(value.loads) +
                                      " loads at once, term " +
                                      std::to_string(value.term_ms) + " ms";
    }

    void operator()(const grant_model& value) const
    {
        this->subject("model", servable_name(this->state, value.servable));
        this->engine(value.engine);
        this->router(value.session);
    }

    void operator()(const grant_settle& value) const
    {
        this->replica(value.replica);
        this->router(value.session);
        this->entry.cause = value.used ? "used" : "not used";
    }

    void add_differences(const entity_change& change) const
    {
        const auto before = this->state.entity(change.kind, change.name);
        const std::string entity =
            std::string(to_string(change.kind)) + ' ' + change.name;
        const auto moved = differences(before, change.spec);
        if (!before || !change.spec)
        {
            this->add_whole(entity, before ? "removed" : "new", moved);
            return;
        }
        for (const field_difference& field : moved)
        {
            this->entry.effects.push_back(
                entity + ": " + std::string(field.field) + ' ' + field.before +
                " -> " + field.after);
        }
    }

    /// One line for an entity that comes or goes.
    void add_whole(
        const std::string& entity,
        std::string_view what,
        const std::vector<field_difference>& fields) const
    {
        std::string line = entity + ": " + std::string(what);
        for (const field_difference& field : fields)
        {
            line += ' ' + std::string(field.field) + '=';
            line += field.after.empty() ? field.before : field.after;
        }
        this->entry.effects.push_back(std::move(line));
    }
};

/// The effects that the record alone doesn't say.
std::string describe(const fleet_state& state, const state_change& change)
{
    using kind = state_change::kind;
    const std::string engine = "engine " + engine_name(state, change.engine);
    switch (change.what)
    {
    case kind::session_ended:
        return "router " + session_name(state, change.session) + " ended";
    case kind::lease_taken:
        return engine + ": lease to " + session_name(state, change.session);
    case kind::lease_freed:
        return engine + ": lease free";
    case kind::replica_moved:
        return "replica " + std::to_string(change.replica.value) + ": " +
               std::string(to_string(change.from)) + " -> " +
               std::string(to_string(change.to));
    case kind::request_blocked:
        return "request " + to_hex(change.request.value) + ": blocked";
    case kind::request_unblocked:
        return "request " + to_hex(change.request.value) + ": unblocked";
    default:
        return {}; // the record says it
    }
}

/// The first subjects, and how many there are.
std::string subject_text(const std::vector<std::string>& subjects)
{
    constexpr std::size_t shown = 6;
    std::string text;
    for (std::size_t at = 0; at < std::min(shown, subjects.size()); ++at)
    {
        text += text.empty() ? "" : ", ";
        text += subjects[at];
    }
    if (subjects.size() > shown)
    {
        text += ", ... (" + std::to_string(subjects.size()) + " in all)";
    }
    return text;
}

boost::json::array to_array(const std::vector<std::string>& words)
{
    return boost::json::array(words.begin(), words.end());
}

} // namespace

void trail_writer::before_fold(
    const fleet_state& state, const history_entry& entry)
{
    trail_entry line;
    line.offset = entry.offset;
    line.kind = kind_name(entry);
    if (entry.value)
    {
        line.stamp = entry.value->stamp;
        line.author = author_name(state, *entry.value);
        std::visit(payload_describer{state, line}, entry.value->payload);
    }
    this->all.push_back(std::move(line));
}

void trail_writer::after_fold(
    const fleet_state& state, const history_entry& entry)
{
    trail_entry& line = this->all.back();
    if (!entry.result)
    {
        line.outcome = "unreadable";
        return;
    }
    line.outcome = to_string(entry.result->status);
    if (entry.result->status != fold_status::accepted)
    {
        line.effects.clear();
    }
    if (entry.result->status == fold_status::rejected)
    {
        line.reason = roseworks::to_string(entry.result->reason);
        line.winner = entry.result->winner;
    }
    for (const state_change& change : entry.changes)
    {
        std::string effect = describe(state, change);
        if (!effect.empty())
        {
            line.effects.push_back(std::move(effect));
        }
    }
}

bool trail_entry::names(std::string_view subject) const
{
    return std::find(this->subjects.begin(), this->subjects.end(), subject) !=
           this->subjects.end();
}

trail_entry trail_entry::only(std::string_view subject) const
{
    trail_entry narrowed = *this;
    if (this->kind != "config_change")
    {
        return narrowed;
    }
    narrowed.subjects = {std::string(subject)};
    const std::string start = std::string(subject) + ':';
    std::erase_if(
        narrowed.effects,
        [&start](const std::string& effect)
        {
            return !effect.starts_with(start);
        });
    return narrowed;
}

std::ostream& operator<<(std::ostream& out, const trail_entry& entry)
{
    out << entry.offset.value << ' ' << to_utc(entry.stamp) << ' '
        << (entry.author.empty() ? "-" : entry.author) << ' ' << entry.kind
        << ' ' << entry.outcome;
    if (!entry.reason.empty())
    {
        out << " (" << entry.reason;
        if (entry.winner)
        {
            out << ", offset " << entry.winner.value << " won";
        }
        out << ')';
    }
    if (!entry.subjects.empty())
    {
        out << ": " << subject_text(entry.subjects);
    }
    if (!entry.cause.empty())
    {
        out << " [" << entry.cause << ']';
    }
    out << '\n';
    for (const std::string& effect : entry.effects)
    {
        out << "    " << effect << '\n';
    }
    return out;
}

boost::json::object to_json(const trail_entry& entry)
{
    return {
        {"offset", entry.offset.value},
        {"stamp_ms", entry.stamp},
        {"author", entry.author},
        {"kind", entry.kind},
        {"outcome", entry.outcome},
        {"reason", entry.reason},
        {"winner", entry.winner.value},
        {"subjects", to_array(entry.subjects)},
        {"cause", entry.cause},
        {"effects", to_array(entry.effects)}};
}

} // namespace roseworks::tools
