#include "paced_fleet.hpp"

#include "core/pace/stream_timer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace roseworks::testing
{

namespace
{

constexpr std::size_t engines_per_model = 8;
constexpr std::size_t models_step = 4;
constexpr std::size_t events_per_request = 15;
constexpr duration event_time = 20ms; ///< of the first model at usual speed
constexpr duration prefill_time = 60ms;
constexpr duration one_way = 500us;
constexpr duration disturbance_length = 600ms;
constexpr double disturbance_factor = 2.5;
constexpr duration control_interval = 250ms;
constexpr std::size_t beacon_engines = 12;
constexpr duration owner_timeout = 1200ms;

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

duration scaled(duration length, double factor)
{
    return duration(std::llround(static_cast<double>(length.count()) * factor));
}

/// Models differ in size.
double model_factor(std::size_t model)
{
    return 0.8 + 0.2 * static_cast<double>(model % 3);
}

} // namespace

std::string paced_fleet::engine_name(std::size_t number)
{
    return "e-" + std::to_string(number);
}

std::uint64_t paced_fleet::run_of(std::size_t number) const
{
    constexpr std::uint64_t runs_per_engine = 1000;
    return number * runs_per_engine +
           static_cast<std::uint64_t>(this->engines[number].born_ms);
}

paced_fleet::paced_fleet(options config)
    : settings(std::move(config))
    , random(this->settings.seed)
    , engines(this->settings.engines)
    , routers(this->settings.routers)
{
    for (std::size_t i = 0; i < this->engines.size(); ++i)
        this->engines[i].speed = this->settings.speed(i);
    const std::size_t model_count = this->engines.size() / models_step;
    for (std::size_t i = 0; i < model_count; ++i)
        this->models.push_back("llm/m" + std::to_string(i));
    for (std::size_t i = 0; i < model_count; ++i)
    {
        servable_routes model;
        model.id = servable_id(static_cast<std::uint32_t>(i + 1));
        model.name = this->models[i];
        model.max_streams = this->settings.slots;
        model.load_estimate_ms = 1000;
        model.max_replicas = engines_per_model;
        for (std::size_t k = 0; k < engines_per_model; ++k)
        {
            const auto number = static_cast<std::uint32_t>(
                (i * models_step + k) % this->engines.size() + 1);
            model.ready.push_back(
                {replica_id(1000 + number),
                 engine_id(number),
                 "10.0.0." + std::to_string(number) + ":80",
                 "a",
                 "vm" + std::to_string(number)});
        }
        this->table.put(std::move(model));
    }
    for (router& one : this->routers)
    {
        dispatcher::options traffic;
        traffic.affinity = prefix_affinity::none;
        traffic.data_centre = "a";
        traffic.seed = this->random();
        one.traffic = std::make_unique<dispatcher>(traffic);
        one.traffic->table_changed(this->table.publish(), this->queue.now());
        one.traffic->routers_alive(this->routers.size(), this->queue.now());
    }
    if (this->settings.knowledge == pace_knowledge::full)
    {
        double mean = 0;
        for (const engine& one : this->engines)
            mean += 1 / one.speed;
        mean /= static_cast<double>(this->engines.size());
        for (router& one : this->routers)
            for (std::size_t i = 0; i < this->engines.size(); ++i)
                one.traffic->pace_estimated(
                    engine_id(static_cast<std::uint32_t>(i + 1)),
                    static_cast<std::uint32_t>(
                        std::lround(100 / this->engines[i].speed / mean)),
                    instant::max());
    }
    if (this->settings.knowledge == pace_knowledge::estimated)
        this->add_owner(0);
}

void paced_fleet::later(duration wait, std::function<void()> action)
{
    this->queue.schedule(this->queue.now() + wait, std::move(action));
}

duration paced_fleet::run_time(std::size_t model) const
{
    return scaled(
        prefill_time + event_time * events_per_request, model_factor(model));
}

void paced_fleet::run(duration length)
{
    this->measured_from = this->queue.now();
    this->first_event_ms.clear();
    this->sample_bytes = 0;
    for (engine& one : this->engines)
        one.busy = {};
    if (!std::exchange(this->started, true))
    {
        this->arrive();
        this->tick_control();
    }
    this->queue.run_until(this->queue.now() + length);
}

void paced_fleet::arrive()
{
    double capacity = 0;
    for (const engine& one : this->engines)
        capacity += one.speed * this->settings.slots;
    if (this->settings.disturbed > 0)
        capacity /= 1 + this->settings.disturbed * (disturbance_factor - 1);
    const double per_second =
        this->settings.load * capacity / seconds(this->run_time(1));
    std::exponential_distribution<double> pause(per_second);
    const auto wait = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(pause(this->random)));
    this->later(
        wait,
        [this]
        {
            const instant now = this->queue.now();
            const std::size_t number = this->random() % this->routers.size();
            const std::size_t model = this->random() % this->models.size();
            request_info info;
            info.target = this->models[model];
            info.deadline = now + 5s;
            info.objective = now + 400ms;
            router& target = this->routers[number];
            const ticket id = target.traffic->submit(info, now);
            target.requests[id.value] = {number, id, model, now, now, 0};
            this->flush(number);
            this->arrive();
        });
}

void paced_fleet::flush(std::size_t number)
{
    router& target = this->routers[number];
    for (const dispatch_command& command : target.traffic->take_commands())
    {
        if (const auto* granted = std::get_if<grant>(&command))
            this->send(number, *granted);
        else if (const auto* refused = std::get_if<refusal>(&command))
            target.requests.erase(refused->request.value);
    }
    const auto next = target.traffic->next_tick();
    if (!next || target.scheduled_tick <= *next)
        return;
    const instant due = std::max(*next, this->queue.now());
    target.scheduled_tick = due;
    this->queue.schedule(
        due,
        [this, number]
        {
            router& ticked = this->routers[number];
            ticked.scheduled_tick = instant::max();
            ticked.traffic->tick(this->queue.now());
            this->flush(number);
        });
}

void paced_fleet::send(std::size_t number, const grant& granted)
{
    request& one = this->routers[number].requests.at(granted.request.value);
    one.sent = this->queue.now();
    this->later(
        one_way,
        [this, to = granted.engine.value - 1, copy = one]
        {
            this->receive(to, copy);
        });
}

void paced_fleet::receive(std::size_t number, const request& one)
{
    engine& target = this->engines[number];
    if (target.running < this->settings.slots)
        this->begin(number, one);
    else
        target.waiting.push_back(one);
}

double paced_fleet::disturbance(std::size_t number, instant when) const
{
    const auto window = static_cast<std::uint64_t>(
        when.time_since_epoch() / disturbance_length);
    std::mt19937_64 draw(window * 10007 + number);
    const double share = static_cast<double>(draw() >> 11) * 0x1p-53;
    return share < this->settings.disturbed ? disturbance_factor : 1;
}

void paced_fleet::begin(std::size_t number, const request& one)
{
    engine& target = this->engines[number];
    ++target.running;
    const double factor = model_factor(one.model) / target.speed;
    const instant start = this->queue.now();
    instant when = start;
    when += scaled(
        prefill_time + event_time, factor * this->disturbance(number, when));
    std::vector<instant> events{when};
    const auto host_percent = static_cast<std::uint32_t>(
        std::lround(100 * this->disturbance(number, when)));
    for (std::size_t i = 1; i < events_per_request; ++i)
    {
        when += scaled(event_time, factor * this->disturbance(number, when));
        events.push_back(when);
    }
    request begun = one;
    begun.run = target.run;
    this->queue.schedule(
        when,
        [this, number, begun, start, events, host_percent]
        {
            engine& ended = this->engines[number];
            if (ended.run == begun.run)
            {
                --ended.running;
                ended.busy +=
                    this->queue.now() - std::max(start, this->measured_from);
                if (!ended.waiting.empty())
                {
                    const request next = ended.waiting.front();
                    ended.waiting.pop_front();
                    this->begin(number, next);
                }
            }
            this->later(
                one_way,
                [this, number, begun, events, host_percent]
                {
                    this->finish(number, begun, events, host_percent);
                });
        });
    // The head of the response comes with the first event.
    this->queue.schedule(
        events.front() + one_way,
        [this, number, begun]
        {
            const engine& seen = this->engines[number];
            if (begun.arrived >= this->measured_from)
                this->first_event_ms.push_back(
                    1000 * seconds(this->queue.now() - begun.arrived));
            this->routers[begun.router].traffic->load_reported(
                {engine_id(static_cast<std::uint32_t>(number + 1)),
                 seen.running,
                 static_cast<std::uint32_t>(seen.waiting.size())},
                this->queue.now());
            this->flush(begun.router);
        });
}

void paced_fleet::finish(
    std::size_t number,
    const request& one,
    const std::vector<instant>& events,
    std::uint32_t host_percent)
{
    router& target = this->routers[one.router];
    stream_timer timer(host_percent, events.front());
    for (std::size_t i = 0; i < events.size(); ++i)
        timer.received(1, i == 0 ? events[0] : events[i - 1], events[i]);
    // A sample of an earlier run of the engine isn't taken for one of this run.
    if (this->engines[number].run == one.run)
        target.observer.add(
            this->run_of(number),
            pace_model(this->models[one.model]),
            timer.events(),
            timer.time());
    attempt_result result;
    result.total = this->queue.now() - one.sent;
    result.first_byte = events.front() + one_way - one.sent;
    target.traffic->finished(one.id, result, this->queue.now());
    target.requests.erase(one.id.value);
    this->flush(one.router);
}

void paced_fleet::restart_engine(std::size_t number, double speed)
{
    engine& one = this->engines[number];
    ++one.run;
    ++one.born_ms;
    one.speed = speed;
    one.running = 0;
    for (const auto& each : this->owners)
        each->estimator.engine_listed(
            engine_name(number), this->run_of(number));
    for (std::size_t i = 0; i < this->routers.size(); ++i)
        this->apply_paces(i);
    while (!one.waiting.empty() && one.running < this->settings.slots)
    {
        const request next = one.waiting.front();
        one.waiting.pop_front();
        this->begin(number, next);
    }
}

void paced_fleet::add_owner(std::size_t number)
{
    auto added = std::make_unique<owner>();
    added->router = number;
    added->tenure = ++this->last_tenure;
    for (std::size_t i = 0; i < this->engines.size(); ++i)
        added->estimator.engine_listed(engine_name(i), this->run_of(i));
    this->owners.push_back(std::move(added));
}

void paced_fleet::kill_owner(std::size_t number)
{
    std::erase_if(
        this->owners,
        [number](const auto& one)
        {
            return one->router == number;
        });
}

void paced_fleet::tick_control()
{
    ++this->control_ticks;
    const instant now = this->queue.now();
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        // Routers report every second, at different times.
        if ((i + this->control_ticks) % 4 == 0)
            this->report(i);
    }
    for (const auto& each : this->owners)
    {
        std::vector<std::size_t> which;
        if (this->control_ticks % 2 == 0)
            for (const pace_change& one : each->estimator.update(now))
                which.push_back(std::stoul(one.engine.substr(2)));
        for (std::size_t i = 0;
             i < std::min(beacon_engines, this->engines.size());
             ++i)
        {
            which.push_back(each->next_engine);
            each->next_engine = (each->next_engine + 1) % this->engines.size();
        }
        this->announce(*each, which);
    }
    this->observe();
    this->later(
        control_interval,
        [this]
        {
            this->tick_control();
        });
}

void paced_fleet::report(std::size_t number)
{
    router& from = this->routers[number];
    if (this->queue.now() - from.owner_heard > owner_timeout)
        return; // the samples are kept for the next owner
    std::vector<pace_sample> samples = from.observer.take();
    this->tamper(number, samples);
    for (const pace_sample& one : samples)
        this->sample_bytes += sizeof(one.run) + sizeof(one.model) +
                              sizeof(one.events) + sizeof(one.time_us);
    for (const auto& each : this->owners)
    {
        if (each->router == from.owner && this->reaches(number, from.owner))
            each->estimator.add(
                "r" + std::to_string(number), samples, this->queue.now());
    }
}

void paced_fleet::announce(owner& from, const std::vector<std::size_t>& which)
{
    const instant now = this->queue.now();
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        router& to = this->routers[i];
        const bool is_known = now - to.owner_heard <= owner_timeout;
        if (!this->reaches(from.router, i) ||
            (is_known && from.tenure < to.owner_tenure))
            continue;
        to.owner = from.router;
        to.owner_tenure = from.tenure;
        to.owner_heard = now;
        for (const std::size_t engine : which)
            to.known.announced(
                engine_name(engine),
                this->engines[engine].born_ms,
                from.estimator.percent(engine_name(engine)).value_or(0),
                now);
        this->apply_paces(i);
    }
}

void paced_fleet::apply_paces(std::size_t number)
{
    router& one = this->routers[number];
    const instant now = this->queue.now();
    for (const std::string& id : one.known.engines(now))
    {
        const std::size_t engine = std::stoul(id.substr(2));
        one.traffic->pace_estimated(
            engine_id(static_cast<std::uint32_t>(engine + 1)),
            one.known.percent(id, this->engines[engine].born_ms, now),
            one.known.until(id, now));
    }
}

double paced_fleet::p99() const
{
    std::vector<double> sorted = this->first_event_ms;
    const auto at =
        sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 99 / 100);
    std::nth_element(sorted.begin(), at, sorted.end());
    return *at;
}

double paced_fleet::busiest() const
{
    duration sum{};
    duration most{};
    for (const engine& one : this->engines)
    {
        sum += one.busy;
        most = std::max(most, one.busy);
    }
    return seconds(most) * static_cast<double>(this->engines.size()) /
           seconds(sum);
}

double paced_fleet::utilisation(std::size_t number) const
{
    return seconds(this->engines[number].busy) /
           seconds(this->queue.now() - this->measured_from) /
           this->settings.slots;
}

std::uint32_t paced_fleet::pace_at(std::size_t number, std::size_t engine) const
{
    return this->routers[number].known.percent(
        engine_name(engine), this->engines[engine].born_ms, this->queue.now());
}

double paced_fleet::sample_bytes_per_second() const
{
    return static_cast<double>(this->sample_bytes) /
           seconds(this->queue.now() - this->measured_from) /
           static_cast<double>(this->routers.size());
}

} // namespace roseworks::testing
