#include "crash_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace roseworks::testing
{

namespace
{

constexpr fingerprint crashing(7);
constexpr fingerprint common(8);

/// Crashes after which a request counts as one that crashes servers.
constexpr std::size_t counted_crashes = 3;
/// The same for a part of prompts.
constexpr std::size_t counted_part_crashes = 5;

constexpr std::size_t first_parts = 3;
constexpr std::size_t second_parts = 375;
constexpr std::size_t third_parts = 40;
/// The second part that becomes bad if one does that ran well before.
constexpr std::size_t turning_part = 7;

/// @return A part of prompts, by its position and its number there.
fingerprint part_at(std::size_t position, std::size_t number)
{
    constexpr std::uint64_t parts_per_position = 100'000;
    constexpr std::uint64_t first_value = 1'000'000'000;
    return fingerprint(first_value + position * parts_per_position + number);
}

/// Numbers of parts that no sound request has.
constexpr std::size_t first_bad_number = 50'000;

std::size_t count_after(const std::vector<instant>& times, instant limit)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        times,
        [limit](instant when)
        {
            return when > limit;
        }));
}
/// A router is in touch when it was undisturbed for this time, and has to know
/// of a crash within it.
constexpr duration contact_time = 3s;

constexpr duration heartbeats_until_removal = 3600ms;
constexpr duration registry_delay = 150ms;
constexpr duration shortest_message = 500us;
constexpr duration longest_message = 3ms;
constexpr duration tick_interval = 100ms;

} // namespace

crash_fleet::crash_fleet(options config)
    : settings(config)
    , random(config.seed)
    , started_at(this->queue.now())
    , next_batch(this->started_at + config.prompts.bad_from)
{
    for (std::size_t i = 0; i < this->settings.servers; ++i)
    {
        server& made = this->servers.emplace_back();
        made.life = {"s" + std::to_string(i), 1};
    }
    for (std::size_t i = 0; i < this->settings.routers; ++i)
        this->make_router();
    const prompt_traffic& prompts = this->settings.prompts;
    for (std::size_t i = 0; i < prompts.bad_parts; ++i)
    {
        const std::size_t number =
            prompts.ran_well_before ? turning_part + i : first_bad_number + i;
        this->bad_parts.push_back(
            {part_at(prompts.bad_position, number), {}, {}});
    }
}

void crash_fleet::make_router()
{
    const std::size_t number = this->routers.size();
    router& made = this->routers.emplace_back(router{
        crash_router(number, number + 1, this->archive, this->now()),
        {},
        1,
        {},
        {}});
    for (const server& one : this->servers)
        made.registry.push_back({one.life, one.up});
    for (std::size_t i = 0; i < this->routers.size(); ++i)
        this->routers[i].knowledge.set_routers(this->routers.size());
    this->tick(number, made.process);
}

void crash_fleet::add_router()
{
    this->make_router();
    this->lose_touch(this->routers.size() - 1, duration::zero());
}

void crash_fleet::restart(std::size_t number)
{
    router& target = this->routers[number];
    ++target.process;
    target.knowledge =
        crash_router(number, this->routers.size(), this->archive, this->now());
    for (std::size_t i = 0; i < this->servers.size(); ++i)
        target.registry[i] = {this->servers[i].life, this->servers[i].up};
    this->lose_touch(number, duration::zero());
    this->tick(number, target.process);
}

void crash_fleet::restart_all()
{
    for (std::size_t i = 0; i < this->routers.size(); ++i)
        this->restart(i);
}

void crash_fleet::freeze(std::size_t number, duration length)
{
    this->routers[number].frozen_until = this->now() + length;
    this->lose_touch(number, length);
}

void crash_fleet::lose_touch(std::size_t number, duration length)
{
    this->routers[number].out_of_touch_until =
        this->now() + length + contact_time;
}

bool crash_fleet::in_touch(std::size_t number) const
{
    return this->routers[number].out_of_touch_until <= this->now();
}

std::size_t crash_fleet::late_sends() const
{
    if (this->crash_times.size() < counted_crashes)
        return 0;
    const instant limit = this->crash_times[counted_crashes - 1] + contact_time;
    return count_after(this->sends_in_touch, limit);
}

std::size_t crash_fleet::late_prompt_sends() const
{
    std::size_t most = 0;
    for (const bad_part& bad : this->bad_parts)
    {
        if (bad.crashes.size() < counted_part_crashes)
            continue;
        const instant limit =
            bad.crashes[counted_part_crashes - 1] + contact_time;
        most = std::max(most, count_after(bad.sends_in_touch, limit));
    }
    return most;
}

bool crash_fleet::are_bad_ones_coming() const
{
    return this->now() >= this->started_at + this->settings.prompts.bad_from;
}

crash_fleet::bad_part*
crash_fleet::bad_part_of(const simulated_request& request)
{
    if (!request.is_crashing)
        return nullptr;
    for (bad_part& bad : this->bad_parts)
    {
        if (std::ranges::find(request.parts, bad.part) != request.parts.end())
            return &bad;
    }
    return nullptr;
}

crash_fleet::begun_count* crash_fleet::current_count()
{
    if (!this->are_bad_ones_coming())
        return &this->before;
    const std::vector<instant>& crashes = this->bad_parts.front().crashes;
    const bool is_after =
        crashes.size() >= counted_part_crashes &&
        this->now() > crashes[counted_part_crashes - 1] + 2 * contact_time;
    return is_after ? &this->after : nullptr;
}

simulated_request crash_fleet::make_repeated()
{
    simulated_request made;
    made.from = simulated_request::origin::repeated;
    made.content = crashing;
    made.is_crashing = true;
    made.ends_after = this->random_time(20ms, 100ms);
    made.begins_after = made.ends_after;
    return made;
}

simulated_request crash_fleet::make_innocent(fingerprint content)
{
    simulated_request made;
    made.content = content;
    made.retries_left = 1;
    made.ends_after = this->random_time(50ms, 1500ms);
    made.begins_after = made.ends_after;
    return made;
}

simulated_request crash_fleet::make_prompt()
{
    const prompt_traffic& prompts = this->settings.prompts;
    const double skewed =
        std::pow(double(second_parts), this->random_below(10'000) / 10'000.0);
    simulated_request made;
    made.from = simulated_request::origin::prompt;
    made.content = fingerprint(++this->last_content);
    made.parts = {
        part_at(0, this->random_below(first_parts)),
        part_at(1, static_cast<std::size_t>(skewed)),
        part_at(2, this->random_below(third_parts))};
    made.retries_left = prompts.retries;
    made.begins_after = this->random_time(50ms, 300ms);
    made.ends_after = this->random_time(500ms, 4s);
    if (!this->are_bad_ones_coming())
        return made;
    if (this->happens(prompts.bad_share))
        this->spoil(made);
    made.is_crashing = std::ranges::any_of(
        this->bad_parts,
        [&made](const bad_part& bad)
        {
            return std::ranges::find(made.parts, bad.part) != made.parts.end();
        });
    if (made.is_crashing)
        made.ends_after = made.begins_after + this->random_time(20ms, 100ms);
    return made;
}

void crash_fleet::spoil(simulated_request& request)
{
    const std::size_t chosen = this->random_below(this->bad_parts.size());
    request.parts[this->settings.prompts.bad_position] =
        this->bad_parts[chosen].part;
}

void crash_fleet::schedule_batches(duration length)
{
    if (this->settings.prompts.batch_size == 0)
        return;
    for (const instant end = this->now() + length; this->next_batch < end;
         this->next_batch += this->settings.prompts.batch_interval)
        this->queue.schedule(
            this->next_batch,
            [this]
            {
                this->send_batch();
            });
}

void crash_fleet::send_batch()
{
    for (std::size_t i = 0; i < this->settings.prompts.batch_size; ++i)
    {
        simulated_request made = this->make_prompt();
        this->spoil(made);
        made.is_crashing = true;
        // Nothing is between them, so the servers end at one moment.
        made.begins_after = this->random_time(25ms, 45ms);
        made.ends_after = made.begins_after;
        this->start_run(made, this->random_below(this->routers.size()));
    }
}

void crash_fleet::crash_servers(double share)
{
    std::vector<std::size_t> numbers(this->servers.size());
    std::iota(numbers.begin(), numbers.end(), std::size_t(0));
    std::ranges::shuffle(numbers, this->random);
    numbers.resize(static_cast<std::size_t>(
        share * static_cast<double>(this->servers.size())));
    for (const std::size_t number : numbers)
    {
        if (this->servers[number].up)
            this->crash(number);
    }
}

void crash_fleet::schedule_arrivals(
    duration length, double per_second, const std::function<void()>& send)
{
    if (per_second <= 0)
        return;
    std::exponential_distribution<double> pause(per_second);
    const instant end = this->now() + length;
    const auto next = [&]
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(pause(this->random)));
    };
    for (instant when = this->now() + next(); when < end; when += next())
        this->queue.schedule(when, send);
}

void crash_fleet::send(duration length)
{
    this->schedule_arrivals(
        length,
        this->settings.crashing_per_second,
        [this]
        {
            this->arrive(
                this->make_repeated(),
                this->random_below(this->routers.size()));
        });
    this->schedule_arrivals(
        length,
        this->settings.innocent_per_second,
        [this]
        {
            ++this->sent_innocents;
            const fingerprint content(++this->last_content);
            this->arrive(
                this->make_innocent(content),
                this->random_below(this->routers.size()));
        });
    this->schedule_arrivals(
        length,
        this->settings.common_per_second,
        [this]
        {
            ++this->sent_innocents;
            this->arrive(
                this->make_innocent(common),
                this->random_below(this->routers.size()));
        });
    this->schedule_arrivals(
        length,
        this->settings.prompts.per_second,
        [this]
        {
            const simulated_request made = this->make_prompt();
            this->count_arrival(made);
            this->arrive(made, this->random_below(this->routers.size()));
        });
    this->schedule_batches(length);
    this->queue.run_until(this->now() + length);
}

void crash_fleet::count_arrival(const simulated_request& request)
{
    if (request.is_crashing)
        return;
    ++this->sent_innocents;
    if (begun_count* count = this->current_count())
        ++count->arrived;
}

void crash_fleet::count_sends(
    const simulated_request& request, std::size_t number)
{
    if (!request.is_crashing || !this->in_touch(number))
        return;
    if (request.from == simulated_request::origin::repeated)
        this->sends_in_touch.push_back(this->now());
    else if (bad_part* bad = this->bad_part_of(request))
        bad->sends_in_touch.push_back(this->now());
}

void crash_fleet::arrive(const simulated_request& request, std::size_t number)
{
    const duration wait =
        this->random_time(duration::zero(), this->settings.longest_wait);
    this->on_router(
        number,
        this->routers[number].process,
        this->now() + wait,
        [this, request, number]
        {
            this->start_run(request, number);
        });
}

void crash_fleet::start_run(
    const simulated_request& request, std::size_t number)
{
    const request_gate::decision decision =
        this->routers[number].knowledge.admit(request, this->now());
    this->flush(number);
    if (decision.result == request_gate::outcome::refused)
    {
        this->handle_refusal(request, decision.retry_after);
        return;
    }
    const auto chosen = this->choose_server(request, number);
    if (!chosen)
        return;
    server& target = this->servers[*chosen];
    const simulated_life& known = this->routers[number].registry[*chosen].life;
    if (!target.up)
        return; // The connection fails, and no server runs the request.
    this->count_sends(request, number);
    if (known.server != target.life.server)
    {
        // The server at the address now refuses a request for another one.
        this->routers[number].knowledge.life_ended(
            known, crash_evidence::replaced, this->now());
        this->flush(number);
        return;
    }
    const std::uint64_t run_number = ++this->last_run;
    target.running.push_back(
        {run_number,
         number,
         this->routers[number].process,
         request,
         this->now()});
    this->queue.schedule(
        this->now() + request.begins_after,
        [this, server_number = *chosen, run_number]
        {
            this->begin_answer(server_number, run_number);
        });
    this->queue.schedule(
        this->now() + request.ends_after,
        [this, server_number = *chosen, run_number]
        {
            this->end_run(server_number, run_number);
        });
}

void crash_fleet::handle_refusal(
    const simulated_request& request, duration retry_after)
{
    this->refused_innocents += request.is_crashing ? 0 : 1;
    if (!request.is_crashing || !this->settings.callers_return)
        return;
    this->queue.schedule(
        this->now() + retry_after,
        [this, request]
        {
            this->start_run(request, this->random_below(this->routers.size()));
        });
}

bool crash_fleet::is_free(
    std::size_t number, const simulated_request& request) const
{
    // The other kinds of requests don't fill servers.
    if (request.from != simulated_request::origin::prompt)
        return true;
    const server& one = this->servers[number];
    return one.up && one.running.size() < this->settings.slots;
}

std::optional<std::size_t>
crash_fleet::choose_server(const simulated_request& request, std::size_t number)
{
    const std::vector<listed_server>& known = this->routers[number].registry;
    constexpr int tries = 20;
    for (int i = 0; i < tries; ++i)
    {
        const std::size_t server_number =
            this->random_below(this->servers.size());
        if (known[server_number].listed &&
            this->is_free(server_number, request))
            return server_number;
    }
    return std::nullopt;
}

void crash_fleet::begin_answer(
    std::size_t server_number, std::uint64_t run_number)
{
    const std::vector<run>& running = this->servers[server_number].running;
    const auto found = std::ranges::find(running, run_number, &run::number);
    if (found == running.end())
        return;
    const simulated_request& request = found->request;
    const bool counts = request.from == simulated_request::origin::prompt &&
                        !request.is_crashing && request.is_first_attempt;
    begun_count* count = counts ? this->current_count() : nullptr;
    if (count != nullptr)
        ++count->begun;
}

void crash_fleet::end_run(std::size_t server_number, std::uint64_t run_number)
{
    std::vector<run>& running = this->servers[server_number].running;
    const auto found = std::ranges::find(running, run_number, &run::number);
    if (found == running.end())
        return;
    if (found->request.is_crashing)
    {
        if (bad_part* bad = this->bad_part_of(found->request))
            bad->crashes.push_back(this->now());
        this->crash(server_number);
        return;
    }
    const run ended = *found;
    running.erase(found);
    this->on_router(
        ended.router,
        ended.router_run,
        this->now(),
        [this, ended]
        {
            router& target = this->routers[ended.router];
            target.knowledge.answered(
                ended.request,
                ended.started + ended.request.begins_after,
                this->now());
            this->flush(ended.router);
        });
}

void crash_fleet::crash(std::size_t server_number)
{
    server& target = this->servers[server_number];
    this->crash_times.push_back(this->now());
    target.up = false;
    target.silent = this->happens(this->settings.silent_share);
    const simulated_life ended = target.life;
    for (const run& broken : std::exchange(target.running, {}))
        this->break_run(ended, server_number, broken);
    this->queue.schedule(
        this->now() + heartbeats_until_removal,
        [this, server_number, ended]
        {
            this->announce_end(server_number, ended);
        });
    this->queue.schedule(
        this->now() +
            this->random_time(
                this->settings.shortest_outage, this->settings.longest_outage),
        [this, server_number]
        {
            this->start_server(server_number);
        });
}

void crash_fleet::break_run(
    const simulated_life& life, std::size_t server_number, const run& broken)
{
    const instant begins = broken.started + broken.request.begins_after;
    const std::optional<instant> began =
        begins <= this->now() ? std::optional(begins) : std::nullopt;
    this->on_router(
        broken.router,
        broken.router_run,
        this->now() + shortest_message,
        [this, life, server_number, broken, began]
        {
            router& target = this->routers[broken.router];
            target.knowledge.run_broken(
                broken.request, life, began, this->now());
            this->flush(broken.router);
            this->examine(broken.router, server_number, life);
            this->retry(broken);
        });
}

void crash_fleet::retry(const run& broken)
{
    if (broken.request.retries_left == 0)
        return;
    simulated_request again = broken.request;
    --again.retries_left;
    again.is_first_attempt = false;
    this->arrive(again, broken.router);
}

void crash_fleet::examine(
    std::size_t number, std::size_t server_number, simulated_life life)
{
    const bool is_down = !this->servers[server_number].up;
    const bool is_silent = is_down && this->servers[server_number].silent;
    const duration length = is_silent ? duration(2500ms) : duration(1ms);
    this->on_router(
        number,
        this->routers[number].process,
        this->now() + length,
        [this, number, life, is_down, is_silent]
        {
            crash_router& knowledge = this->routers[number].knowledge;
            if (is_down)
                knowledge.life_ended(
                    life,
                    is_silent ? crash_evidence::unreachable
                              : crash_evidence::refused,
                    this->now());
            else
                knowledge.life_reached(life, this->now());
            this->flush(number);
        });
}

void crash_fleet::start_server(std::size_t server_number)
{
    server& target = this->servers[server_number];
    target.up = true;
    ++target.life.born_ms;
    target.life.server = "s" + std::to_string(server_number) + "-" +
                         std::to_string(target.life.born_ms);
    this->announce_start(server_number);
}

void crash_fleet::announce_start(std::size_t server_number)
{
    const simulated_life started = this->servers[server_number].life;
    for (std::size_t i = 0; i < this->routers.size(); ++i)
        this->on_router(
            i,
            this->routers[i].process,
            this->now() + registry_delay,
            [this, i, server_number, started]
            {
                if (!this->hears_registry(i))
                    return;
                listed_server& known = this->routers[i].registry[server_number];
                const simulated_life before = known.life;
                known = {started, true};
                if (before.server != started.server)
                    this->routers[i].knowledge.life_ended(
                        before, crash_evidence::replaced, this->now());
                this->flush(i);
            });
}

void crash_fleet::announce_end(
    std::size_t server_number, const simulated_life& life)
{
    for (std::size_t i = 0; i < this->routers.size(); ++i)
        this->on_router(
            i,
            this->routers[i].process,
            this->now() + registry_delay,
            [this, i, server_number, life]
            {
                if (!this->hears_registry(i))
                    return;
                listed_server& known = this->routers[i].registry[server_number];
                if (known.life.server == life.server)
                    known.listed = false;
                this->routers[i].knowledge.life_ended(
                    life, crash_evidence::removed, this->now());
                this->flush(i);
            });
}

void crash_fleet::flush(std::size_t number)
{
    this->routers[number].knowledge.update_archive(this->now());
    for (const crash_router::message& sent :
         this->routers[number].knowledge.take_messages())
    {
        if (!sent.to_all)
        {
            this->deliver(number, sent.to, sent);
            continue;
        }
        for (std::size_t to = 0; to < this->routers.size(); ++to)
        {
            if (to != number)
                this->deliver(number, to, sent);
        }
    }
}

void crash_fleet::deliver(
    std::size_t from, std::size_t to, const crash_router::message& sent)
{
    ++this->messages_sent;
    if (!this->reaches(from, to) || this->happens(this->settings.loss))
        return;
    this->on_router(
        to,
        this->routers[to].process,
        this->now() + this->random_time(shortest_message, longest_message),
        [this, from, to, sent]
        {
            this->routers[to].knowledge.receive(sent, from, this->now());
            this->flush(to);
        });
}

void crash_fleet::tick(std::size_t number, std::uint64_t process)
{
    this->on_router(
        number,
        process,
        this->now() + tick_interval,
        [this, number, process]
        {
            this->routers[number].knowledge.tick(this->now());
            this->flush(number);
            this->tick(number, process);
        });
}

void crash_fleet::on_router(
    std::size_t number,
    std::uint64_t process,
    instant when,
    std::function<void()> action)
{
    this->queue.schedule(
        when,
        [this, number, process, action = std::move(action)]
        {
            const router& target = this->routers[number];
            if (target.process != process)
                return;
            if (target.frozen_until > this->now())
                this->on_router(number, process, target.frozen_until, action);
            else
                action();
        });
}

std::size_t crash_fleet::random_below(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(
        this->random);
}

duration crash_fleet::random_time(duration shortest, duration longest)
{
    std::uniform_int_distribution<duration::rep> length(
        shortest.count(), longest.count());
    return duration(length(this->random));
}

bool crash_fleet::happens(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           probability;
}

} // namespace roseworks::testing
