#include "core/placement/engine_reports.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace roseworks::detail
{

namespace
{

/// An engine on which nothing moves is read this many polls apart.
constexpr int steady_polls = 4;
/// A read whose answer never came is handed out again.
constexpr duration read_timeout = std::chrono::seconds(10);
/// Engines of other holders are read for what they have cached, at most so
/// often, and at most so many bytes a second for all of them. What needs a
/// fresh report asks for it.
constexpr duration foreign_interval = std::chrono::seconds(10);
constexpr std::size_t foreign_bytes_a_second = 700;

// About what an answer takes on the wire.
constexpr std::size_t empty_report_bytes = 350;
constexpr std::size_t resident_bytes = 150;
constexpr std::size_t cached_bytes = 50;

std::size_t wire_bytes(const engine_report& report)
{
    const std::size_t cached =
        report.cached_in_memory.size() + report.cached_on_disk.size();
    return empty_report_bytes + resident_bytes * report.residents.size() +
           cached_bytes * cached;
}

/// @return Time between two reads of the same engine of another holder.
duration foreign_spread(std::size_t engines, std::size_t mean_bytes)
{
    const auto spread = std::chrono::milliseconds(
        engines * mean_bytes * 1000 / foreign_bytes_a_second);
    return std::max<duration>(foreign_interval, spread);
}

} // namespace

const resident* engine_sighting::find(replica_id id) const
{
    const auto place = std::find_if(
        this->report.residents.begin(),
        this->report.residents.end(),
        [&](const resident& item)
        {
            return item.replica == id;
        });
    return place == this->report.residents.end() ? nullptr : &*place;
}

engine_reports::engine_reports(duration interval)
    : poll(interval)
{
}

void engine_reports::received(const engine_report& report, instant now)
{
    schedule& read = this->reads[report.engine];
    engine_sighting& sighting = this->sightings[report.engine];
    if (read.in_flight)
    {
        sighting.asked = *read.in_flight;
        read.in_flight.reset();
    }
    sighting.read = now;
    if (report.reachable || sighting.reached == instant{})
    {
        sighting.reached = now;
    }
    if (report.reachable)
    {
        this->report_bytes += wire_bytes(report);
        this->report_bytes -= std::exchange(sighting.bytes, wire_bytes(report));
        sighting.report = report;
        return;
    }
    // What is cached there stays a useful hint; residents are unknown.
    sighting.report.engine = report.engine;
    sighting.report.reachable = false;
}

void engine_reports::step(
    const control_context& context,
    const std::set<engine_id>& held,
    const std::set<engine_id>& urgent)
{
    std::size_t engines = 0;
    context.state.for_each_engine(
        [&](const engine_view&)
        {
            ++engines;
        });
    const std::size_t mean = std::max(
        empty_report_bytes,
        this->report_bytes / std::max<std::size_t>(1, this->sightings.size()));
    const duration foreign = foreign_spread(engines, mean);

    this->next_due = instant::max();
    context.state.for_each_engine(
        [&](const engine_view& engine)
        {
            if (engine.spec == nullptr)
            {
                return;
            }
            schedule& read = this->reads[engine.id];
            duration interval = foreign;
            if (urgent.contains(engine.id))
            {
                interval = this->poll;
            }
            else if (held.contains(engine.id))
            {
                interval = this->poll * steady_polls;
            }
            instant due =
                read.asked_before ? read.last_asked + interval : context.now;
            if (read.in_flight)
            {
                due = *read.in_flight + read_timeout;
            }
            if (context.now < due)
            {
                this->next_due = std::min(this->next_due, due);
                return;
            }
            read.in_flight = context.now;
            read.last_asked = context.now;
            read.asked_before = true;
            context.out.emplace_back(
                read_engine{engine.id, engine.spec->address});
            this->next_due =
                std::min(this->next_due, context.now + read_timeout);
        });
}

const engine_sighting* engine_reports::find(engine_id id) const
{
    const auto place = this->sightings.find(id);
    return place == this->sightings.end() ? nullptr : &place->second;
}

instant engine_reports::next_tick() const
{
    return this->next_due;
}

} // namespace roseworks::detail
