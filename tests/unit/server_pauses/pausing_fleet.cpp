#include "pausing_fleet.hpp"

#include <algorithm>

namespace roseworks::testing
{

namespace
{

/// Requests that were on their way when the engine asked for a pause may still
/// reach it for so long.
constexpr duration pause_grace = 500ms;

modelled_server::options server_options(std::size_t slots)
{
    modelled_server::options made;
    made.slots = slots;
    made.queue_places = 4 * slots;
    return made;
}

} // namespace

pausing_fleet::pausing_fleet(const options& config)
    : router_fleet(config)
    , settings(config)
{
    for (std::size_t i = 0; i < config.engines; ++i)
        this->engines.push_back(
            {std::make_unique<modelled_server>(
                 this->queue, server_options(config.slots)),
             {},
             0,
             false});
}

void pausing_fleet::reject(
    std::size_t number, duration length, double rejected_share)
{
    this->engines[number].rejects_until = this->now() + length;
    this->engines[number].rejected_share = rejected_share;
}

void pausing_fleet::leave(std::size_t number)
{
    this->engines[number].leaving = true;
}

double pausing_fleet::capacity() const
{
    constexpr double mean_factor = 1.5;
    const double run =
        std::chrono::duration<double>(this->settings.shortest_run).count() *
        mean_factor;
    return static_cast<double>(this->engines.size() * this->settings.slots) /
           run;
}

std::size_t pausing_fleet::take_peak()
{
    return std::exchange(this->peak, 0);
}

duration pausing_fleet::one_way()
{
    std::uniform_int_distribution<duration::rep> delay(
        this->settings.shortest_delay.count(),
        this->settings.longest_delay.count());
    return duration(delay(this->random));
}

void pausing_fleet::request_submitted(std::size_t number, ticket id)
{
    this->submitted[{number, id.value}] = this->now();
}

instant pausing_fleet::end_of_pauses(std::size_t number) const
{
    instant end = instant::max();
    for (std::size_t i = 0; i < this->engines.size(); ++i)
    {
        const auto found = this->pauses.find({number, i});
        const bool was_paused =
            found != this->pauses.end() && !found->second.empty();
        end = std::min(
            end, was_paused ? found->second.back().until : instant::min());
    }
    return end;
}

void pausing_fleet::request_refused(std::size_t number, const refusal& refused)
{
    const auto found = this->submitted.find({number, refused.request.value});
    if (found == this->submitted.end())
        return;
    const instant deadline = found->second + this->settings.caller_timeout;
    if (this->end_of_pauses(number) > deadline)
        this->hopeless_wait = std::max<duration>(
            this->hopeless_wait, this->now() - found->second);
}

void pausing_fleet::run_request(std::size_t number, const grant& granted)
{
    const instant sent = this->now();
    this->queue.schedule(
        sent + this->one_way(),
        [this, number, granted, sent]
        {
            this->arrive(number, granted, sent);
        });
}

bool pausing_fleet::is_rejected(const engine& one)
{
    std::uniform_real_distribution<double> chance(0, 1);
    return this->now() < one.rejects_until &&
           chance(this->random) < one.rejected_share;
}

void pausing_fleet::record_arrival(std::size_t number, std::size_t engine)
{
    for (pause_record& one : this->pauses[{number, engine}])
    {
        if (this->now() < one.from || this->now() >= one.until)
            continue;
        ++one.arrivals;
        this->worst_pause = std::max(this->worst_pause, one.arrivals);
    }
    const auto told = this->told_leaving.find({number, engine});
    if (told != this->told_leaving.end() &&
        this->now() - told->second > leaving_bound)
        ++this->late_arrivals;
}

void pausing_fleet::arrive(
    std::size_t number, const grant& granted, instant sent)
{
    const std::size_t index = granted.engine.value - 1;
    this->record_arrival(number, index);
    engine& one = this->engines[index];
    if (this->is_rejected(one))
    {
        this->pauses[{number, index}].push_back(
            {this->now() + pause_grace, this->now() + this->settings.pause, 0});
        this->respond(number, granted, sent, modelled_server::result::rejected);
        return;
    }
    std::uniform_int_distribution<duration::rep> length(
        this->settings.shortest_run.count(),
        2 * this->settings.shortest_run.count());
    one.server->receive(
        duration(length(this->random)),
        [this, number, granted, sent](modelled_server::result result)
        {
            this->respond(number, granted, sent, result);
        });
    this->peak = std::max(
        this->peak, one.server->running_count() + one.server->waiting_count());
}

void pausing_fleet::respond(
    std::size_t number,
    const grant& granted,
    instant sent,
    modelled_server::result result)
{
    const std::size_t index = granted.engine.value - 1;
    const bool is_rejection = result == modelled_server::result::rejected;
    server_notice notice;
    notice.no_room = is_rejection;
    notice.leaving = this->engines[index].leaving;
    const modelled_server& server = *this->engines[index].server;
    notice.load = server_load_notice{
        static_cast<std::uint32_t>(server.running_count()),
        static_cast<std::uint32_t>(server.waiting_count())};
    if (is_rejection)
        notice.pause = this->settings.pause;
    this->schedule_on(
        number,
        this->now() + this->one_way(),
        [this, number, granted, sent, notice, index]
        {
            if (notice.leaving)
                this->told_leaving.try_emplace({number, index}, this->now());
            this->handle_notice(number, granted.engine, notice, sent);
            attempt_result attempt;
            attempt.how = notice.no_room ? attempt_result::end::refused_not_run
                                         : attempt_result::end::answered;
            attempt.no_room = notice.no_room;
            attempt.total = this->now() - sent;
            attempt.first_byte = attempt.total / 2;
            this->end_attempt(number, granted, attempt);
        });
}

} // namespace roseworks::testing
