#include "app/gateway/residency_teller.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

residency_teller::residency_teller(
    asio::io_context& loop,
    options chosen,
    std::string own_name,
    const clock_port& time,
    const engine_tracker& book,
    const demand_tracker& needed,
    router_lister all,
    sender told)
    : settings(chosen)
    , name(std::move(own_name))
    , clock(time)
    , engines(book)
    , needs(needed)
    , routers(std::move(all))
    , send(std::move(told))
    , pause_timer(loop)
    , beacon_timer(loop)
{
}

void residency_teller::start()
{
    this->arm_beacon();
}

void residency_teller::stop()
{
    this->stopped = true;
    this->pause_timer.cancel();
    this->beacon_timer.cancel();
}

void residency_teller::owned_under(std::optional<std::uint64_t> number)
{
    const bool is_new_owner = number && (!this->fence || this->lapsed);
    this->fence = number;
    this->lapsed = false;
    if (!number)
        this->to_tell.clear();
    if (is_new_owner)
        this->send(this->make_word(), this->routers());
}

void residency_teller::term_ended()
{
    if (!this->fence)
        return;
    this->lapsed = true;
    this->send(this->make_word(), this->routers());
}

void residency_teller::foreseen(std::span<const load_forecast> latest)
{
    const auto is_new = [this](const load_forecast& one)
    {
        return std::ranges::find(
                   this->outlooks, one.model, &load_forecast::model) ==
               this->outlooks.end();
    };
    const bool has_new = std::ranges::any_of(latest, is_new);
    this->outlooks.assign(latest.begin(), latest.end());
    if (has_new && this->fence)
        this->send(this->make_word(), this->routers());
}

void residency_teller::changed(
    const std::string& engine, std::string_view servable)
{
    const std::vector<std::string> all = this->routers();
    if (this->spare(all.size()))
    {
        this->add(engine, all);
        return;
    }
    this->add(engine, this->needs.routers_waiting(servable, this->clock.now()));
    this->add(engine, this->needs.routers_using(engine, servable));
}

void residency_teller::needed_by(
    const std::string& router, const std::string& engine)
{
    const std::string audience[] = {router};
    this->add(engine, audience);
}

void residency_teller::add(
    const std::string& engine, std::span<const std::string> audience)
{
    for (const std::string& router : audience)
        this->to_tell[router].insert(engine);
    if (audience.empty() || std::exchange(this->waiting, true))
        return;
    this->pause_timer.expires_after(this->settings.pause);
    this->pause_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            this->waiting = false;
            if (!error && !this->stopped)
                this->tell_changes();
        });
}

bool residency_teller::spare(std::size_t count)
{
    const instant now = this->clock.now();
    const double passed =
        std::chrono::duration<double>(now - this->spare_counted).count();
    this->spare_counted = now;
    const double rate = std::min(
        this->settings.spare_bytes_per_second,
        this->settings.spare_bytes_per_router * static_cast<double>(count));
    this->spare_bytes = std::min(this->spare_bytes + passed * rate, rate);
    const auto bytes = static_cast<double>(count * this->settings.engine_bytes);
    if (this->spare_bytes < bytes)
        return false;
    this->spare_bytes -= bytes;
    return true;
}

owner_announcement residency_teller::make_word() const
{
    owner_announcement word;
    word.owner = this->name;
    word.tenure = *this->fence;
    word.term_expired = this->lapsed;
    const instant now = this->clock.now();
    word.routers = static_cast<std::uint32_t>(this->needs.active_routers(now));
    for (const load_forecast& one : this->outlooks)
    {
        if (word.load_forecasts.size() == this->settings.most_outlooks)
            break;
        word.load_forecasts.push_back(
            {one.model, duration(one.ready - now).count()});
    }
    return word;
}

void residency_teller::tell_changes()
{
    const auto all = std::exchange(this->to_tell, {});
    if (!this->fence)
        return;
    // Routers with the same set of changed engines get one announcement.
    std::map<std::set<std::string>, std::vector<std::string>> audiences;
    for (const auto& [router, changed_engines] : all)
        audiences[changed_engines].push_back(router);
    for (const auto& [changed_engines, audience] : audiences)
    {
        owner_announcement word = this->make_word();
        for (const std::string& id : changed_engines)
        {
            const engine_state* engine = this->engines.find(id);
            if (engine != nullptr && engine->state_confirmed)
                word.engines.push_back(engine->residency(*this->fence));
        }
        if (!word.engines.empty())
            this->send(word, audience);
    }
}

void residency_teller::arm_beacon()
{
    this->beacon_timer.expires_after(this->settings.beacon);
    this->beacon_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            this->tell_some();
            this->arm_beacon();
        });
}

void residency_teller::tell_some()
{
    if (!this->fence)
        return;
    const std::vector<std::string> all = this->routers();
    owner_announcement word = this->make_word();
    const auto& known = this->engines.all();
    auto next = known.upper_bound(this->last_told);
    const std::size_t most =
        std::min(this->settings.beacon_engines, known.size());
    for (std::size_t i = 0; i < most; ++i)
    {
        if (!this->spare(all.size()))
            break;
        if (next == known.end())
            next = known.begin();
        this->last_told = next->first;
        if (next->second.state_confirmed)
            word.engines.push_back(next->second.residency(*this->fence));
        ++next;
    }
    this->send(word, all);
}

} // namespace roseworks::app
