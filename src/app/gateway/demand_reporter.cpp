#include "app/gateway/demand_reporter.hpp"

#include "core/serving/servable_key.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

/// Demand that arises within this time is reported together.
constexpr std::chrono::milliseconds demand_report_delay{2};

/// Usage that ends within this time is reported together. The owner can replace
/// an unused model only after the report: each 0.1 s of delay wastes as much of
/// an engine's time.
constexpr std::chrono::milliseconds usage_report_delay{20};

/// Demand that persists is reported again, since a datagram may be lost.
constexpr duration demand_report_interval = std::chrono::milliseconds(250);

/// Demand has ended if the dispatcher, which repeats it every 50 ms, hasn't
/// done so for this time.
constexpr duration demand_expiry = std::chrono::milliseconds(120);

std::int64_t micros_until(instant when, instant now)
{
    return duration(when - now).count();
}

} // namespace

demand_reporter::demand_reporter(
    asio::io_context& loop,
    std::string own_name,
    const clock_port& time,
    usage_counter& counter,
    sender send_report)
    : name(std::move(own_name))
    , clock(time)
    , usage(counter)
    , send(std::move(send_report))
    , run_number(static_cast<std::uint64_t>(time.wall()))
    , demand_timer(loop)
    , usage_timer(loop)
{
}

void demand_reporter::stop()
{
    this->demand_timer.cancel();
    this->usage_timer.cancel();
}

void demand_reporter::update_demand(const demand& waiting_demand)
{
    const instant now = this->clock.now();
    const auto [position, added] = this->waiting.try_emplace(
        with_software(waiting_demand.target, waiting_demand.software));
    demand_state& need = position->second;
    const bool changed =
        added || need.last.waiting != waiting_demand.waiting ||
        waiting_demand.earliest_objective < need.last.earliest_objective;
    need.last = waiting_demand;
    need.last_seen = now;
    need.unreported = need.unreported || changed;
    if (!need.unreported || std::exchange(this->demand_timer_armed, true))
        return;
    this->demand_timer.expires_after(demand_report_delay);
    this->demand_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            this->demand_timer_armed = false;
            if (!error)
                this->report_demand(false);
        });
}

void demand_reporter::usage_ended()
{
    if (std::exchange(this->usage_timer_armed, true))
        return;
    this->usage_timer.expires_after(usage_report_delay);
    this->usage_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            this->usage_timer_armed = false;
            if (error)
                return;
            router_report report = this->make_report();
            report.uses = this->usage.take_ended();
            if (!report.uses.empty())
                this->send(std::move(report));
        });
}

void demand_reporter::tick()
{
    this->report_demand(
        this->clock.now() - this->last_full_report >= demand_report_interval);
    router_report report = this->make_report();
    report.uses = this->usage.take_all();
    this->send(std::move(report));
}

void demand_reporter::report_all()
{
    this->report_demand(true);
}

router_report demand_reporter::make_report()
{
    // A long report is sent in parts, each with its own sequence number.
    constexpr std::uint64_t max_parts = 100;
    const auto micros = static_cast<std::uint64_t>(
        this->clock.now().time_since_epoch().count());
    this->last_sequence = std::max(this->last_sequence + max_parts, micros);
    router_report report;
    report.router = this->name;
    report.run = this->run_number;
    report.sequence = this->last_sequence;
    return report;
}

servable_need demand_reporter::make_need(
    const std::string& servable, const demand& waiting_demand, instant now)
{
    const bool has_no_objective =
        waiting_demand.earliest_objective == instant::max();
    return {
        servable,
        waiting_demand.waiting,
        has_no_objective ? servable_need::no_objective
                         : micros_until(waiting_demand.earliest_objective, now),
        micros_until(waiting_demand.earliest_deadline, now)};
}

void demand_reporter::report_demand(bool all)
{
    const instant now = this->clock.now();
    router_report report = this->make_report();
    for (auto& [servable, need] : this->waiting)
    {
        const bool ended = now - need.last_seen > demand_expiry;
        if (ended)
            report.needs.push_back({servable, 0, 0, 0});
        else if (all || need.unreported)
            report.needs.push_back(make_need(servable, need.last, now));
        need.unreported = false;
    }
    std::erase_if(
        this->waiting,
        [now](const auto& entry)
        {
            return now - entry.second.last_seen > demand_expiry;
        });
    if (all)
        this->last_full_report = now;
    if (!report.needs.empty())
        this->send(std::move(report));
}

} // namespace roseworks::app
