#include "tests/soak/storm.hpp"

#include "tests/support/calls.hpp"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

namespace roseworks::test
{

namespace
{

constexpr std::uint64_t shortest_hold_ms = 300;
/// Longer than a lease's term and margin together.
constexpr std::uint64_t longest_hold_ms = 3500;
constexpr std::uint64_t longest_calm_ms = 1000;

void wait(std::uint64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

} // namespace

storm::storm(
    const soak_options& options,
    fleet& nodes,
    call_book& book,
    ledger_watch& watch,
    in_force_watch& changes)
    : options(options)
    , nodes(nodes)
    , book(book)
    , watch(watch)
    , changes(changes)
    , random(options.seed)
{
    const auto list = get_json(nodes.vm_list_address(), "/v1/vms");
    for (const auto& vm : list.at("vms").as_array())
    {
        if (vm.at("role").as_string() == "backend")
            this->backend_vms.push_back(vm.as_object());
    }
}

void storm::blow_until(steady_time end)
{
    while (std::chrono::steady_clock::now() < end)
    {
        const std::vector<active_fault> faults = this->draw();
        this->handover_hindered = std::ranges::any_of(faults, hinders_handover);
        for (const active_fault& fault : faults)
            this->begin(fault);
        this->hold();
        for (const active_fault& fault : faults)
            this->end(fault);
        wait(this->random() % longest_calm_ms);
    }
    this->poisoned_calls.clear();
}

const std::map<std::string, std::uint64_t>& storm::counts() const
{
    return this->injected;
}

const std::vector<outage>& storm::router_kills() const
{
    return this->kills;
}

const std::vector<outage>& storm::router_replacements() const
{
    return this->replacements;
}

const std::vector<outage>& storm::router_pauses() const
{
    return this->pauses;
}

const std::vector<std::string>& storm::failures() const
{
    return this->failed;
}

const std::map<int, std::uint64_t>& storm::apply_results() const
{
    return this->applied;
}

std::uint64_t storm::unfinished_handovers() const
{
    return this->not_handed_over;
}

bool storm::hinders_handover(const active_fault& fault)
{
    return fault.kind->target == target_kind::log ||
           fault.kind->target == target_kind::engine;
}

std::vector<storm::active_fault> storm::draw()
{
    const std::size_t wanted = 1 + this->random() % 2;
    std::vector<active_fault> faults;
    while (faults.size() < wanted)
    {
        const fault_kind& kind = kinds()[this->random() % kinds().size()];
        const std::size_t target = this->random() % this->targets(kind.target);
        const bool taken = !faults.empty() &&
                           faults[0].kind->target == kind.target &&
                           faults[0].target == target;
        if (!taken)
            faults.push_back({&kind, target});
    }
    return faults;
}

std::size_t storm::targets(target_kind kind) const
{
    if (kind == target_kind::router)
        return this->options.routers;
    if (kind == target_kind::engine)
        return this->nodes.engines_count();
    return 1;
}

void storm::hold()
{
    wait(
        shortest_hold_ms +
        this->random() % (longest_hold_ms - shortest_hold_ms));
}

void storm::begin(const active_fault& fault)
{
    ++this->injected[std::string(fault.kind->name)];
    this->command = fault.kind->control;
    (this->*fault.kind->begin)(fault.target);
}

void storm::end(const active_fault& fault)
{
    (this->*fault.kind->end)(fault.target);
}

void storm::tell(const std::string& address, std::string_view command)
{
    if (!control(address, command))
    {
        this->failed.push_back(
            address + " did not take " + std::string(command));
    }
}

void storm::apply_as(const std::string& author, const std::string& text)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto result = this->nodes.publish(text, author);
    this->changes.applied(begin, result.output);
    const std::scoped_lock lock(this->applied_mutex);
    ++this->applied[result.exit_code];
}

void storm::keep_log(std::size_t router)
{
    if (this->options.log_folder.empty())
        return;
    const auto file = std::filesystem::path(this->options.log_folder) /
                      ("r" + std::to_string(router + 1) + ".log");
    std::ofstream(file, std::ios::app) << this->nodes.router_log(router);
}

void storm::keep_logs()
{
    for (std::size_t i = 0; i < this->options.routers; ++i)
        this->keep_log(i);
}

} // namespace roseworks::test
