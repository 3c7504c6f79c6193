#include "tools/ctl/plan_text.hpp"

#include <ostream>

namespace roseworks::tools
{

namespace
{

std::ostream&
print_signed(std::ostream& out, std::int64_t value, std::string_view what)
{
    return out << (value >= 0 ? "+" : "") << value << ' ' << what;
}

} // namespace

void print_changes(std::ostream& out, const plan& made)
{
    out << "against offset " << made.at.value << ": " << made.changes.size()
        << " changes\n";
    for (const planned_change& step : made.changes)
    {
        out << to_string(step.action) << ' ' << to_string(step.change.kind)
            << ' ' << step.change.name << " (revision "
            << step.change.expected.value << ")\n";
        if (step.action != planned_action::change)
        {
            continue;
        }
        for (const field_difference& field : step.fields)
        {
            out << "    " << field.field << ": " << field.before << " -> "
                << field.after << '\n';
        }
    }
}

void print_effects(std::ostream& out, const plan& made)
{
    const plan_effects& effects = made.effects;
    out << "replicas: ";
    print_signed(out, effects.max_replicas_added, "declared, ");
    print_signed(out, effects.min_replicas_added, "kept ready\n");
    out << "loads now: " << effects.loads << ", about " << effects.load_time_ms
        << " ms at the weight store's limits; " << effects.replicas_gone
        << " replicas above their maximum go\n";
    out << "memory: " << effects.declared_mib << " MiB declared, "
        << effects.capacity_mib << " MiB on engines in use\n";
    for (const engine_worst_case& engine : effects.engines)
    {
        out << "    " << engine.name << ": " << engine.reserved_now_mib
            << " MiB reserved now, worst case " << engine.worst_case_mib
            << " of " << engine.capacity_mib << " MiB\n";
    }
    if (effects.replicas_without_room != 0)
    {
        out << "    " << effects.replicas_without_room
            << " declared replicas find no room when all are loaded\n";
    }
    for (const std::string& warning : made.warnings)
    {
        out << "warning: " << warning << '\n';
    }
}

} // namespace roseworks::tools
