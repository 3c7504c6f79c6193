#include "core/recovery/vm_watch.hpp"

namespace roseworks::detail
{

namespace
{

constexpr unsigned missing_for_gone = 2;

} // namespace

void vm_watch::listed(std::span<const vm_entry> vms)
{
    for (auto& [name, last] : this->seen)
    {
        ++last.missing;
    }
    for (const vm_entry& vm : vms)
    {
        this->seen[vm.vm] = {vm.leaving, 0};
    }
}

bool vm_watch::gone(std::string_view vm) const
{
    const auto place = this->seen.find(vm);
    return place != this->seen.end() &&
           place->second.missing >= missing_for_gone;
}

bool vm_watch::leaving(std::string_view vm) const
{
    const auto place = this->seen.find(vm);
    return place != this->seen.end() &&
           (place->second.leaving || place->second.missing >= missing_for_gone);
}

bool vm_watch::listed_now(std::string_view vm) const
{
    const auto place = this->seen.find(vm);
    return place != this->seen.end() && place->second.missing == 0;
}

void vm_watch::forget_ended(const fleet_state& state)
{
    const auto ended = [&state](session_id id)
    {
        const std::optional<session_view> session = state.session(id);
        return !session || session->ended;
    };
    std::erase_if(this->listed_during, ended);
    std::erase_if(
        this->reported,
        [&ended](const auto& entry)
        {
            return ended(entry.first);
        });
}

void vm_watch::step(const control_context& context, std::string_view own_name)
{
    this->forget_ended(context.state);
    context.state.for_each_session(
        [&](const session_view& session)
        {
            if (!session.ended && this->listed_now(session.name))
            {
                this->listed_during.insert(session.id);
            }
        });
    if (!context.log_available)
    {
        return;
    }
    context.state.for_each_session(
        [&](const session_view& session)
        {
            if (session.name != own_name && this->gone(session.name) &&
                this->listed_during.contains(session.id))
            {
                this->report_gone(context, session);
            }
        });
}

void vm_watch::report_gone(
    const control_context& context, const session_view& session)
{
    const bool mine = rendezvous_choice(
                          {rendezvous_domain::gone_report, session.id.value},
                          context.alive) == context.self;
    if (!mine || this->reported.contains(session.id))
    {
        return;
    }
    router_gone report;
    report.session = session.id;
    report.evidence = "its VM left the VM list";
    this->reported[session.id] = context.submit(std::move(report));
}

} // namespace roseworks::detail
