#include "tools/common/trail.hpp"
#include "tools/ctl/command.hpp"

#include <algorithm>
#include <ostream>

namespace roseworks::tools
{

namespace
{

/// Explains one model or adapter from the folded records alone.
class explanation
{
public:
    explanation(
        std::ostream& to,
        const fleet_state& folded,
        const std::vector<trail_entry>& entries,
        const servable_view& explained)
        : out(to)
        , state(folded)
        , trail(entries)
        , servable(explained)
    {
    }

    void print()
    {
        this->print_declaration();
        this->print_replicas();
        this->print_engines();
        this->print_decisions();
    }

private:
    void print_declaration()
    {
        this->out << servable.name << ": "
                  << (servable.is_adapter ? "adapter" : "model") << " version "
                  << servable.version << ", " << servable.memory_mib << " MiB, "
                  << servable.min_replicas << " to " << servable.max_replicas
                  << " replicas, revision " << servable.current.value << '\n';
        if (servable.is_adapter)
        {
            this->out << "base: " << servable_name(state, servable.base)
                      << '\n';
        }
        if (!servable.readable)
        {
            this->out << "its record has a schema newer than this program's: "
                         "nothing is decided about it\n";
        }
    }

    void print_replicas()
    {
        std::uint32_t count = 0;
        state.for_each_replica_of(
            servable.id,
            [&](const replica_view& replica)
            {
                ++count;
                this->print_replica(replica);
            });
        if (count == 0)
        {
            this->out << "no replica: " << this->why_none() << '\n';
        }
        else if (count >= servable.max_replicas)
        {
            this->out << "no more: the maximum of " << servable.max_replicas
                      << " is reached\n";
        }
    }

    void print_replica(const replica_view& replica)
    {
        this->out << "replica " << replica.id.value << " on "
                  << engine_name(state, replica.engine) << ": "
                  << to_string(replica.state) << " since offset "
                  << replica.last_change.value;
        if (replica.state == replica_state::decided && !replica.holds_slot)
        {
            this->out << ", waits for one of " << state.policy().store_slots
                      << " store slots";
        }
        if (replica.servable_revision != servable.current)
        {
            this->out << ", decided for revision "
                      << replica.servable_revision.value;
        }
        this->out << '\n';
    }

    std::string why_none() const
    {
        if (servable.max_replicas == 0)
        {
            return "its maximum is 0";
        }
        const bool asked = std::any_of(
            trail.begin(),
            trail.end(),
            [this](const trail_entry& entry)
            {
                return entry.kind == "replica_decide" && this->names(entry);
            });
        return asked ? "see the decisions below"
                     : "nobody asked for it in the kept part of the log";
    }

    /// What each engine says to one more replica.
    void print_engines()
    {
        state.for_each_engine(
            [&](const engine_view& engine)
            {
                this->out << "engine " << engine.name << ": "
                          << this->verdict_on(engine) << '\n';
            });
    }

    std::string verdict_on(const engine_view& engine) const
    {
        if (!engine.readable || engine.spec == nullptr)
        {
            return "can't take it: its record can't be read";
        }
        if (engine.spec->draining)
        {
            return "can't take it: draining";
        }
        const std::uint32_t capacity = engine.spec->memory_mib;
        const std::uint32_t free =
            capacity - std::min(capacity, engine.reserved_mib);
        const std::string memory = std::to_string(free) + " of " +
                                   std::to_string(capacity) + " MiB free";
        if (free < servable.memory_mib)
        {
            return "can't take it: " + memory;
        }
        if (servable.is_adapter && !this->base_ready_on(engine.id))
        {
            return "can't take it: its base is not ready there";
        }
        return "could take it: " + memory;
    }

    bool base_ready_on(engine_id engine) const
    {
        bool ready = false;
        state.for_each_replica_on(
            engine,
            [&](const replica_view& replica)
            {
                ready = ready || (replica.servable == servable.base &&
                                  replica.state == replica_state::ready);
            });
        return ready;
    }

    void print_decisions()
    {
        this->out << "records:\n";
        for (const trail_entry& entry : trail)
        {
            if (this->names(entry))
            {
                this->out << "  " << entry.only(this->declared_as());
            }
        }
    }

    std::string declared_as() const
    {
        const std::string kind = servable.is_adapter ? "adapter " : "model ";
        return kind + std::string(servable.name);
    }

    bool names(const trail_entry& entry) const
    {
        // Records of replicas call every servable a model.
        return entry.names(this->declared_as()) ||
               entry.names("model " + std::string(servable.name));
    }

    std::ostream& out;
    const fleet_state& state;
    const std::vector<trail_entry>& trail;
    servable_view servable;
};

} // namespace

command_result run_explain(command_context& context)
{
    BOOST_LEAF_AUTO(name, context.argument("name"));
    BOOST_LEAF_AUTO(log, context.open_log());
    trail_writer trail;
    log->history.observe(trail);
    BOOST_LEAF_CHECK(log->history.load());
    const fleet_state& state = log->history.state();
    const auto servable = state.servable(state.find_servable(name));
    if (!servable)
    {
        return boost::leaf::new_error(
            input_error{"no such model or adapter: " + name});
    }
    explanation(context.out, state, trail.entries(), *servable).print();
    return exit_code::ok;
}

} // namespace roseworks::tools
