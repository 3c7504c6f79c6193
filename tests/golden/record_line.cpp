#include "tests/golden/record_line.hpp"

#include <roseworks/names.hpp>
#include <roseworks/plan.hpp>
#include <roseworks/record_text.hpp>

#include <variant>

namespace roseworks::golden
{

namespace
{

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

/// Writes each kind of record.
class record_writer
{
public:
    explicit record_writer(const fleet_state& folded)
        : names(folded)
    {
    }

    std::string operator()(const unknown_record& what) const
    {
        return "unknown kind " + number(what.kind);
    }

    std::string operator()(const config_change& what) const
    {
        std::string line = "config_change by " + what.author + ":";
        for (const entity_change& change : what.changes)
        {
            line += change.spec ? " put " : " remove ";
            line += std::string(to_string(change.kind)) + " " + change.name +
                    " (expects #" + number(change.expected.value) + ")";
        }
        return line;
    }

    std::string operator()(const router_join& what) const
    {
        return "router_join " + what.name;
    }

    std::string operator()(const router_leave& what) const
    {
        return "router_leave " + this->session(what.session);
    }

    std::string operator()(const router_gone& what) const
    {
        return "router_gone " + this->session(what.session) + ": " +
               what.evidence;
    }

    std::string operator()(const session_renew& what) const
    {
        return "session_renew " + this->session(what.session);
    }

    std::string operator()(const lease_acquire& what) const
    {
        std::string line = "lease_acquire " + this->engine(what.engine) +
                           " for " + this->session(what.session);
        if (what.previous)
        {
            line += ", after " + this->session(what.previous) +
                    " renewed at #" + number(what.previous_renewal.value);
        }
        return line;
    }

    std::string operator()(const lease_release& what) const
    {
        return "lease_release " + this->engine(what.engine) + " by " +
               this->session(what.session);
    }

    std::string operator()(const replica_decide& what) const
    {
        return "replica_decide " + servable_name(what.servable, this->names) +
               " (expects #" + number(what.servable_revision.value) + ") on " +
               this->engine(what.engine) + " (expects #" +
               number(what.engine_revision.value) + ") by " +
               this->session(what.session);
    }

    std::string operator()(const replica_report& what) const
    {
        std::string line = "replica_report " + number(what.replica.value) +
                           " " + std::string(to_string(what.to)) + ", fence " +
                           number(what.held.value) + " by " +
                           this->session(what.session);
        return what.cause.empty() ? line : line + ": " + what.cause;
    }

    std::string operator()(const claim_open& what) const
    {
        return "claim_open key " + number(what.key.low) + " by " +
               this->session(what.session);
    }

    std::string operator()(const claim_close& what) const
    {
        return "claim_close key " + number(what.key.low) + " " +
               std::string(to_string(what.outcome)) + " by " +
               this->session(what.session);
    }

    std::string operator()(const request_suspect& what) const
    {
        return "request_suspect " + number(what.request.value) + " on " +
               this->engine(what.engine);
    }

    std::string operator()(const request_unblock& what) const
    {
        return "request_unblock " + number(what.request.value) + " by " +
               what.author;
    }

    std::string operator()(const operator_key_change& what) const
    {
        return "operator_key_change " + number(what.number) + " by " +
               what.author;
    }

    std::string operator()(const checkpoint_chunk& what) const
    {
        return "checkpoint_chunk of #" + number(what.at.value) + ", " +
               number(what.index + 1) + " of " + number(what.count);
    }

    std::string operator()(const grant_open& what) const
    {
        return "grant_open " + this->engine(what.engine) + " by " +
               this->session(what.session) + ": " + number(what.memory_mib) +
               " MiB, " + number(what.loads) + " loads, " +
               number(what.term_ms) + " ms";
    }

    std::string operator()(const grant_model& what) const
    {
        return "grant_model " + servable_name(what.servable, this->names) +
               " (expects #" + number(what.servable_revision.value) + ") on " +
               this->engine(what.engine) + " by " + this->session(what.session);
    }

    std::string operator()(const grant_settle& what) const
    {
        return "grant_settle " + number(what.replica.value) +
               (what.used ? " used, by " : " not used, by ") +
               this->session(what.session);
    }

private:
    std::string engine(engine_id id) const
    {
        return engine_name(id, this->names);
    }

    std::string session(session_id id) const
    {
        return session_name(id, this->names);
    }

    const fleet_state& names;
};

} // namespace

std::string to_line(const record& value, const fleet_state& names)
{
    return std::visit(record_writer(names), value.payload);
}

std::string to_line(const fold_result& result)
{
    switch (result.status)
    {
    case fold_status::accepted:
        return "accepted";
    case fold_status::duplicate:
        return "duplicate";
    case fold_status::unknown:
        return "unknown";
    case fold_status::rejected:
        break;
    }
    std::string line = "rejected: " + std::string(to_string(result.reason));
    if (result.winner)
    {
        line += ", winner #" + number(result.winner.value);
    }
    return result.detail.empty() ? line : line + ", " + result.detail;
}

std::string to_line(const engine_order& order, const fleet_state& names)
{
    const bool loads = order.action == order_action::load;
    return std::string(loads ? "load" : "unload") + " replica " +
           number(order.replica.value) + " of " + order.servable + " on " +
           engine_name(order.engine, names) + ", fence " +
           number(order.held.value);
}

std::string servable_name(servable_id id, const fleet_state& names)
{
    const auto view = names.servable(id);
    return view ? std::string(view->name) : "servable " + number(id.value);
}

std::string engine_name(engine_id id, const fleet_state& names)
{
    const auto view = names.engine(id);
    return view ? std::string(view->name) : "engine " + number(id.value);
}

std::string session_name(session_id id, const fleet_state& names)
{
    const auto view = names.session(id);
    return (view ? std::string(view->name) : "session") + "/" +
           number(id.value);
}

} // namespace roseworks::golden
