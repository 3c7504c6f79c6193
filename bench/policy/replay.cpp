#include "replay.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace roseworks::bench
{

namespace
{

/// Expected uses are loaded so much ahead of the load's own length.
constexpr duration preload_margin = std::chrono::seconds(2);
constexpr duration stage_interval = std::chrono::seconds(30);
/// Pace of a request, as the stand-in engine's defaults.
constexpr duration per_token = std::chrono::milliseconds(27);
constexpr duration per_char = std::chrono::microseconds(20);

servable_id id_of(std::uint32_t servable)
{
    return servable_id(servable + 1);
}

double share_of(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

std::uint32_t weigh_load(std::uint32_t load_ms, double power)
{
    constexpr double reference_ms = 10'000;
    return static_cast<std::uint32_t>(
        reference_ms * std::pow(load_ms / reference_ms, power));
}

std::uint32_t median_model_mib(const trace& source)
{
    std::vector<std::uint32_t> sizes;
    for (const traced_servable& servable : source.servables)
    {
        if (!servable.base)
        {
            sizes.push_back(servable.memory_mib);
        }
    }
    std::sort(sizes.begin(), sizes.end());
    return sizes.empty() ? 0 : sizes[sizes.size() / 2];
}

} // namespace

replay::replay(
    const trace& trace_source, replay_options wanted, replay_strategy learning)
    : source(trace_source)
    , options(wanted)
    , strategy(std::move(learning))
    , pool(trace_source, wanted)
    , waiting(trace_source.servables.size())
    , cold(trace_source.requests.size())
    , uses(trace_source.servables.size())
    , wished(trace_source.servables.size())
    , adapters_of(trace_source.servables.size())
{
    for (std::uint32_t i = 0; i < this->source.servables.size(); ++i)
    {
        if (this->source.servables[i].base)
        {
            this->adapters_of[*this->source.servables[i].base].push_back(i);
        }
    }
    this->half_size_mib = median_model_mib(this->source);
    // Instant 0 means "never" to the strategies.
    this->now = instant(duration(1));
}

replay_figures replay::run()
{
    if (this->options.staging)
    {
        this->schedule(this->now, event_kind::stage);
    }
    const instant end(this->source.length);
    std::uint32_t next = 0;
    while (true)
    {
        const bool arrives = next < this->source.requests.size();
        const instant arrival =
            arrives ? this->source.requests[next].at : instant::max();
        const instant due =
            this->events.empty() ? instant::max() : this->events.top().at;
        if (std::min(arrival, due) >= end)
        {
            break;
        }
        this->now = std::max(this->now, std::min(arrival, due));
        if (due <= arrival)
        {
            const event what = this->events.top();
            this->events.pop();
            this->handle(what);
            continue;
        }
        this->arrive(next);
        ++next;
    }

    this->now = end;
    for (const auto& [id, replica] : this->pool.all())
    {
        this->count_idle(replica, end);
    }
    std::vector<duration> measured;
    std::uint64_t periodic = 0;
    std::uint64_t periodic_waited = 0;
    for (std::size_t i = 0; i < this->source.requests.size(); ++i)
    {
        const instant at = this->source.requests[i].at;
        if (at < instant(this->options.warm_up))
        {
            continue;
        }
        this->figures.unanswered += this->cold[i] ? 0 : 1;
        measured.push_back(this->cold[i].value_or(end - at));
        if (this->source.requests[i].kind == traffic_kind::periodic)
        {
            ++periodic;
            periodic_waited += measured.back() > duration::zero() ? 1 : 0;
        }
    }
    this->figures.periodic_waited_share = share_of(periodic_waited, periodic);
    set_percentiles(measured, this->figures);
    this->figures.slowed_share = share_of(this->slowed, measured.size());
    return this->figures;
}

void replay::schedule(
    instant at, event_kind kind, std::uint64_t replica, std::uint64_t detail)
{
    this->events.push({at, ++this->last_sequence, kind, replica, detail});
}

void replay::handle(const event& what)
{
    replayed_replica* replica = this->pool.find(what.replica);
    switch (what.kind)
    {
    case event_kind::load_done:
        this->loaded(*replica);
        return;
    case event_kind::request_done:
        this->finish(*replica);
        return;
    case event_kind::hold_over:
        if (replica != nullptr && replica->uses == what.detail)
        {
            this->hold_over(*replica);
        }
        return;
    case event_kind::expected:
        this->handle_expected(what.detail);
        return;
    case event_kind::look_again:
        this->will_look_again = false;
        this->place_wishes();
        return;
    case event_kind::grant:
        this->grant_scheduled = false;
        this->start_loads();
        return;
    case event_kind::stage:
        this->stage_next();
        this->schedule(this->now + stage_interval, event_kind::stage);
        return;
    }
}

void replay::arrive(std::uint32_t index)
{
    const traced_request& request = this->source.requests[index];
    this->learn(request);
    this->waiting[request.servable].push_back(index);
    if (this->pool.has_ready(request.servable))
    {
        this->cold[index] = duration::zero();
    }
    this->serve(request.servable);
    if (!this->waiting[request.servable].empty())
    {
        this->want(request.servable, request.urgency);
        this->place_wishes();
    }
}

void replay::learn(const traced_request& request)
{
    const servable_id id = id_of(request.servable);
    this->strategy.holds->used(id, this->now);
    ++this->uses[request.servable];
    const std::optional<std::uint32_t> base =
        this->source.servables[request.servable].base;
    if (base)
    {
        this->strategy.holds->used(id_of(*base), this->now);
        ++this->uses[*base];
    }
    std::vector<expected_use> expected;
    for (const auto& preload : this->strategy.preloads)
    {
        preload->used({id, request.caller, this->now}, expected);
    }
    std::vector<expected_use> to_stage;
    for (const auto& source_of_stagings : this->strategy.stagings)
    {
        source_of_stagings->used({id, request.caller, this->now}, to_stage);
    }
    for (const expected_use& use : to_stage)
    {
        this->pool.stage(use.servable.value - 1);
    }
    for (const expected_use& use : expected)
    {
        const std::uint32_t servable = use.servable.value - 1;
        const duration ahead = this->load_time(servable) + preload_margin;
        this->expectations.push_back(use);
        this->schedule(
            std::max(this->now, use.earliest - ahead),
            event_kind::expected,
            0,
            this->expectations.size() - 1);
    }
}

/// Time that a cold servable takes from remote, with its base if it isn't
/// there.
duration replay::load_time(std::uint32_t servable) const
{
    const traced_servable& item = this->source.servables[servable];
    duration time = std::chrono::milliseconds(item.load_ms);
    if (item.base && !this->pool.has_ready(*item.base))
    {
        time += std::chrono::milliseconds(
            this->source.servables[*item.base].load_ms);
    }
    return time;
}

std::optional<std::uint64_t> replay::free_replica(std::uint32_t servable)
{
    std::optional<std::uint64_t> best;
    std::uint32_t least = 0;
    for (const std::uint64_t id : this->pool.of_servable(servable))
    {
        const replayed_replica& replica = *this->pool.find(id);
        const replayed_replica& carrier =
            replica.base == 0 ? replica : *this->pool.find(replica.base);
        const std::uint32_t streams =
            this->source.servables[carrier.servable].max_streams;
        if (!this->pool.is_ready(id) || carrier.running >= streams)
        {
            continue;
        }
        if (!best || carrier.running < least)
        {
            best = id;
            least = carrier.running;
        }
    }
    return best;
}

void replay::serve(std::uint32_t servable)
{
    std::deque<std::uint32_t>& queue = this->waiting[servable];
    while (!queue.empty())
    {
        const std::optional<std::uint64_t> id = this->free_replica(servable);
        if (!id)
        {
            return;
        }
        const std::uint32_t index = queue.front();
        queue.pop_front();
        this->start(index, *this->pool.find(*id));
    }
}

void replay::start(std::uint32_t index, replayed_replica& replica)
{
    const traced_request& request = this->source.requests[index];
    this->begin_use(replica);
    if (replica.base != 0)
    {
        this->begin_use(*this->pool.find(replica.base));
    }
    const traced_engine& engine = this->source.engines[replica.engine];
    const duration usual =
        per_char * request.prompt_chars + per_token * request.output_tokens;
    const duration time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(usual) *
        engine.slowdown);
    const bool slowed = engine.slowdown > 1 &&
                        request.urgency != priority::batch &&
                        request.at >= instant(this->options.warm_up);
    this->slowed += slowed ? 1 : 0;
    this->schedule(this->now + time, event_kind::request_done, replica.id);
}

void replay::begin_use(replayed_replica& replica)
{
    this->count_idle(replica, this->now);
    replica.only_staged = false;
    ++replica.running;
    ++replica.uses;
    replica.last_use = this->now;
}

void replay::end_use(replayed_replica& replica)
{
    --replica.running;
    replica.last_use = this->now;
    if (replica.running == 0)
    {
        replica.idle_since = this->now;
        this->hold(replica);
    }
}

void replay::finish(replayed_replica& replica)
{
    if (replica.base != 0)
    {
        this->end_use(*this->pool.find(replica.base));
    }
    this->end_use(replica);
    const std::uint32_t servable = replica.servable;
    this->serve(servable);
    // The carrier's streams are shared with its adapters and its own calls.
    const std::uint32_t carrier =
        this->source.servables[servable].base.value_or(servable);
    this->serve(carrier);
    for (const std::uint32_t adapter : this->adapters_of[carrier])
    {
        this->serve(adapter);
    }
    if (!this->wishes.empty())
    {
        this->place_wishes();
    }
}

servable_view replay::view(std::uint32_t servable) const
{
    const traced_servable& item = this->source.servables[servable];
    servable_view result;
    result.id = id_of(servable);
    result.name = item.name;
    result.is_adapter = item.base.has_value();
    result.base = item.base ? id_of(*item.base) : servable_id{};
    result.memory_mib = item.memory_mib;
    result.max_replicas = item.max_replicas;
    result.accelerators = item.accelerators;
    result.max_streams = item.max_streams;
    result.load_estimate_ms = item.load_ms;
    if (item.base && this->options.adapters_like_base)
    {
        result.load_estimate_ms = this->source.servables[*item.base].load_ms;
    }
    result.load_estimate_ms =
        weigh_load(result.load_estimate_ms, this->options.tail_power);
    return result;
}

double replay::accelerator_hours(
    std::uint32_t servable, instant from, instant until) const
{
    const instant start = std::max(from, instant(this->options.warm_up));
    const std::chrono::duration<double, std::ratio<3600>> time =
        std::max(duration::zero(), until - start);
    return time.count() * this->source.servables[servable].accelerators;
}

void replay::count_idle(const replayed_replica& replica, instant until)
{
    if (this->pool.is_ready(replica.id) && replica.running == 0)
    {
        const double hours = this->accelerator_hours(
            replica.servable, replica.idle_since, until);
        this->figures.idle_hours += hours;
        this->figures.idle_cost +=
            hours * this->source.engines[replica.engine].price;
    }
}

} // namespace roseworks::bench
