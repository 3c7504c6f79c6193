#include "app/gateway/need_teller.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

/// Demand that arises within this time is reported together.
constexpr std::chrono::milliseconds needs_pause{2};

/// Usage that ends within this time is reported together. The owner can replace
/// an unused model only after the report: each 0.1 s of delay wastes as much of
/// an engine's time.
constexpr std::chrono::milliseconds ended_pause{20};

/// Demand that persists is reported again, since a datagram may be lost.
constexpr duration needs_repetition = std::chrono::milliseconds(250);

/// Demand has ended if the dispatcher, which repeats it every 50 ms, hasn't
/// done so for this time.
constexpr duration need_lifetime = std::chrono::milliseconds(120);

std::int64_t micros_until(instant when, instant now)
{
    return duration(when - now).count();
}

} // namespace

need_teller::need_teller(
    asio::io_context& loop,
    std::string own_name,
    const clock_port& time,
    usage_meter& used,
    sender told)
    : name(std::move(own_name))
    , clock(time)
    , usage(used)
    , send(std::move(told))
    , run_number(static_cast<std::uint64_t>(time.wall()))
    , needs_timer(loop)
    , ended_timer(loop)
{
}

void need_teller::stop()
{
    this->needs_timer.cancel();
    this->ended_timer.cancel();
}

void need_teller::arose(const demand& waiting_demand)
{
    const instant now = this->clock.now();
    const auto [place, added] =
        this->waiting.try_emplace(waiting_demand.target);
    waiting_need& need = place->second;
    const bool changed =
        added || need.last.waiting != waiting_demand.waiting ||
        waiting_demand.earliest_objective < need.last.earliest_objective;
    need.last = waiting_demand;
    need.heard = now;
    need.news = need.news || changed;
    if (!need.news || std::exchange(this->needs_armed, true))
        return;
    this->needs_timer.expires_after(needs_pause);
    this->needs_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            this->needs_armed = false;
            if (!error)
                this->tell_needs(false);
        });
}

void need_teller::use_ended()
{
    if (std::exchange(this->ended_armed, true))
        return;
    this->ended_timer.expires_after(ended_pause);
    this->ended_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            this->ended_armed = false;
            if (error)
                return;
            router_report word = this->make_word();
            word.uses = this->usage.take_ended();
            if (!word.uses.empty())
                this->send(std::move(word));
        });
}

void need_teller::tick()
{
    this->tell_needs(this->clock.now() - this->repeated >= needs_repetition);
    router_report word = this->make_word();
    word.uses = this->usage.take_all();
    this->send(std::move(word));
}

void need_teller::tell_all()
{
    this->tell_needs(true);
}

router_report need_teller::make_word()
{
    // A long report is sent in parts, each with its own sequence number.
    constexpr std::uint64_t parts = 100;
    const auto micros = static_cast<std::uint64_t>(
        this->clock.now().time_since_epoch().count());
    this->last_sequence = std::max(this->last_sequence + parts, micros);
    router_report word;
    word.router = this->name;
    word.run = this->run_number;
    word.sequence = this->last_sequence;
    return word;
}

servable_need
need_teller::need_of(const demand& waiting_demand, instant now) const
{
    const bool has_no_objective =
        waiting_demand.earliest_objective == instant::max();
    return {
        waiting_demand.target,
        waiting_demand.waiting,
        has_no_objective ? servable_need::no_objective
                         : micros_until(waiting_demand.earliest_objective, now),
        micros_until(waiting_demand.earliest_deadline, now)};
}

void need_teller::tell_needs(bool all)
{
    const instant now = this->clock.now();
    router_report word = this->make_word();
    for (auto& [servable, need] : this->waiting)
    {
        const bool ended = now - need.heard > need_lifetime;
        if (ended)
            word.needs.push_back({servable, 0, 0, 0});
        else if (all || need.news)
            word.needs.push_back(this->need_of(need.last, now));
        need.news = false;
    }
    std::erase_if(
        this->waiting,
        [now](const auto& entry)
        {
            return now - entry.second.heard > need_lifetime;
        });
    if (all)
        this->repeated = now;
    if (!word.needs.empty())
        this->send(std::move(word));
}

} // namespace roseworks::app
