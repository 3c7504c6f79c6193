#include "origin_fleet.hpp"

#include "core/serving/server_software.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace roseworks::testing
{

namespace
{

/// Messages without their lists, with the headers of UDP and IP.
constexpr std::size_t records_message_bytes = 47;
constexpr std::size_t message_bytes = 110;
constexpr std::size_t record_bytes = 24;

constexpr duration network_delay = 1ms;
constexpr duration registry_interval = 300ms;

std::size_t bytes_of(const origin_message& message)
{
    const std::size_t base = message.kind == origin_message_kind::records
                                 ? records_message_bytes
                                 : message_bytes;
    return base +
           record_bytes * (message.records.size() + message.sightings.size());
}

} // namespace

origin_fleet::origin_fleet(options chosen)
    : settings(std::move(chosen))
    , random(this->settings.seed)
    , routers(this->settings.routers)
    , versions(this->settings.versions)
    , started(this->queue.now())
{
    for (std::size_t i = 0; i < this->routers.size(); ++i)
        this->start(i);
    this->settings.first_start = false;
    this->queue.run_until(this->now() + 2s);
}

software_version origin_fleet::software(const std::string& version)
{
    return software_of("llm", version);
}

stream_key origin_fleet::key(const std::string& attempt)
{
    return key_of({attempt, "h.example", "/a/", "m", {}});
}

void origin_fleet::start(std::size_t number)
{
    router& one = this->routers[number];
    origin_tracker::options made;
    made.router = std::to_string(number);
    made.first_start = this->settings.first_start;
    made.seed = this->random();
    one.tracker = std::make_unique<origin_tracker>(made, this->now());
    one.tracker->set_stream_lifetime(this->settings.longest_try + 2s);
    one.up = true;
    one.knows_registry = false;
    one.asked.clear();
    const std::uint64_t process = ++one.process;
    std::vector<origin_tracker::router> all;
    for (std::size_t i = 0; i < this->routers.size(); ++i)
        all.push_back({std::to_string(i), std::to_string(i)});
    this->queue.schedule(
        this->now() + 20ms,
        [this, number, process, all = std::move(all)]
        {
            if (this->routers[number].process != process)
                return;
            this->routers[number].tracker->set_routers(all, this->now());
            this->read_registry(number, process);
            this->flush(number);
        });
}

void origin_fleet::read_registry(std::size_t number, std::uint64_t process)
{
    router& one = this->routers[number];
    if (one.process != process || !one.up)
        return;
    if (this->hears_registry(number))
    {
        one.registry = this->versions;
        one.registry_as_of = this->now();
        one.knows_registry = true;
        std::vector<listed_software> listed;
        for (const std::string& version : one.registry)
            listed.push_back({key_of_service("llm"), software(version)});
        one.tracker->servers_listed(listed, this->now());
    }
    this->queue.schedule(
        this->now() + registry_interval,
        [this, number, process]
        {
            this->read_registry(number, process);
        });
}

void origin_fleet::set_versions(std::vector<std::string> newer)
{
    this->queue.schedule(
        this->now() + this->settings.registry_delay,
        [this, newer = std::move(newer)]
        {
            for (const std::string& version : this->versions)
                this->past_versions.emplace_back(this->now(), version);
            this->versions = newer;
        });
}

std::optional<duration> origin_fleet::registry_age(std::size_t number) const
{
    const router& one = this->routers[number];
    if (!one.knows_registry)
        return std::nullopt;
    return this->now() - one.registry_as_of;
}

void origin_fleet::run(duration length)
{
    const instant end = this->now() + length;
    const auto gap = duration(
        static_cast<duration::rep>(1e6 / this->settings.streams_per_second));
    for (instant at = this->now(); at < end; at += gap)
        this->queue.schedule(
            at,
            [this]
            {
                this->begin_stream();
            });
    this->queue.run_until(end);
}

void origin_fleet::begin_stream()
{
    const auto number = this->random_live_router();
    if (!number)
        return;
    const router& one = this->routers[*number];
    if (!one.knows_registry || one.registry.empty())
        return;
    stream begun;
    begun.attempt = "attempt-" + std::to_string(++this->last_stream);
    begun.version = one.registry[this->random() % one.registry.size()];
    begun.begun = this->now();
    begun.ends = this->now() + this->random_time(
                                   this->settings.shortest_stream,
                                   this->settings.longest_stream);
    this->routers[*number].tracker->began(
        key(begun.attempt), software(begun.version), this->now());
    this->flush(*number);
    this->serve(*number, std::move(begun));
}

void origin_fleet::serve(std::size_t number, stream one)
{
    one.router = number;
    one.process = this->routers[number].process;
    const std::uint64_t id = ++this->last_stream;
    this->queue.schedule(
        one.ends,
        [this, id]
        {
            this->running.erase(id);
        });
    this->running.emplace(id, std::move(one));
}

void origin_fleet::break_streams(std::size_t number)
{
    std::vector<stream> broken;
    std::erase_if(
        this->running,
        [&](const auto& entry)
        {
            if (entry.second.router != number)
                return false;
            broken.push_back(entry.second);
            return true;
        });
    for (const stream& one : broken)
        this->queue.schedule(
            this->now() + this->random_time(3ms, 60ms),
            [this, one]
            {
                this->take_up(one);
            });
}

void origin_fleet::take_up(stream one)
{
    if (this->now() > one.begun + this->settings.longest_try)
        return;
    const auto number = this->random_live_router();
    if (!number || !this->routers[*number].knows_registry)
    {
        this->queue.schedule(
            this->now() + 100ms,
            [this, one]
            {
                this->take_up(one);
            });
        return;
    }
    router& chosen = this->routers[*number];
    origin_tracker::question asked;
    asked.id = ++chosen.last_question;
    if (this->settings.names_attempt)
        asked.stream = key(one.attempt);
    asked.services = {key_of_service("llm")};
    ++this->counts.taken_up;
    chosen.asked.emplace(asked.id, std::move(one));
    chosen.tracker->ask(asked, this->registry_age(*number), this->now());
    this->flush(*number);
}

void origin_fleet::handle_answer(
    std::size_t number, const origin_tracker::answer& given)
{
    const auto found = this->routers[number].asked.extract(given.question);
    if (!found || !given.origin.software)
        return;
    const stream& one = found.mapped();
    if (given.origin.software != software(one.version))
        ++this->counts.at_other_version;
    else
        ++this->counts.went_on;
    this->serve(number, one);
}

void origin_fleet::flush(std::size_t number)
{
    router& one = this->routers[number];
    for (const auto& message : one.tracker->take_messages())
    {
        for (const std::string& address : message.recipients)
        {
            const std::size_t to = std::stoul(address);
            this->bytes_sent += bytes_of(message.content);
            if (!this->reaches(number, to) ||
                this->happens(this->settings.loss))
                continue;
            this->queue.schedule(
                this->now() + network_delay,
                [this, number, to, content = message.content]
                {
                    if (!this->routers[to].up)
                        return;
                    this->routers[to].tracker->message_received(
                        content,
                        std::to_string(number),
                        this->registry_age(to),
                        this->now());
                    this->flush(to);
                });
        }
    }
    for (const origin_tracker::answer& given : one.tracker->take_answers())
        this->handle_answer(number, given);
    if (one.tracker->take_log_wanted())
        this->read_log(number);
    this->schedule_tick(number);
}

void origin_fleet::read_log(std::size_t number)
{
    if (!this->hears_registry(number))
        return;
    const instant since = this->now() - this->settings.log_length;
    std::vector<listed_software> seen;
    for (const auto& [until, version] : this->past_versions)
    {
        if (until >= since)
            seen.push_back({key_of_service("llm"), software(version)});
    }
    for (const std::string& version : this->versions)
        seen.push_back({key_of_service("llm"), software(version)});
    this->routers[number].tracker->add_past(seen, since, this->now());
    this->flush(number);
}

void origin_fleet::schedule_tick(std::size_t number)
{
    const std::uint64_t process = this->routers[number].process;
    const instant next = this->routers[number].tracker->next_tick();
    this->queue.schedule(
        std::max(next, this->now() + 1ms),
        [this, number, process, next]
        {
            router& one = this->routers[number];
            const bool is_outdated = one.process != process || !one.up ||
                                     one.tracker->next_tick() != next;
            if (is_outdated)
                return;
            one.tracker->tick(this->registry_age(number), this->now());
            this->flush(number);
        });
}

void origin_fleet::kill(std::size_t number)
{
    router& one = this->routers[number];
    one.up = false;
    const std::uint64_t process = ++one.process;
    this->break_streams(number);
    this->queue.schedule(
        this->now() + this->settings.restart_time,
        [this, number, process]
        {
            if (this->routers[number].process == process)
                this->start(number);
        });
}

void origin_fleet::restart_all(duration gap)
{
    instant at = this->now();
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        this->queue.schedule(
            at,
            [this, i]
            {
                this->kill(i);
            });
        at += gap;
    }
}

void origin_fleet::kill_share(double share)
{
    for (const std::size_t number : this->random_share(share))
        this->kill(number);
}

void origin_fleet::reset_share(double share)
{
    for (const std::size_t number : this->random_share(share))
        this->break_streams(number);
}

std::vector<std::size_t> origin_fleet::random_share(double share)
{
    std::vector<std::size_t> all(this->routers.size());
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i] = i;
    std::ranges::shuffle(all, this->random);
    all.resize(static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(all.size()))));
    return all;
}

std::optional<std::size_t> origin_fleet::random_live_router()
{
    std::vector<std::size_t> live;
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        if (this->routers[i].up)
            live.push_back(i);
    }
    if (live.empty())
        return std::nullopt;
    return live[this->random() % live.size()];
}

bool origin_fleet::happens(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
}

duration origin_fleet::random_time(duration shortest, duration longest)
{
    return duration(std::uniform_int_distribution<duration::rep>(
        shortest.count(), longest.count())(this->random));
}

double origin_fleet::bytes_per_second() const
{
    const double seconds =
        std::chrono::duration<double>(this->now() - this->started).count();
    return static_cast<double>(this->bytes_sent) / seconds /
           static_cast<double>(this->routers.size());
}

std::size_t origin_fleet::most_records() const
{
    std::size_t most = 0;
    for (const router& one : this->routers)
        most = std::max(most, one.tracker->record_count());
    return most;
}

} // namespace roseworks::testing
