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

void pausing_fleet::kill(std::size_t router)
{
    this->excused_until[router] = this->now();
    this->restart(router);
}

void pausing_fleet::suspend(std::size_t router, duration length)
{
    this->excused_until[router] = this->now() + length;
    this->freeze(router, length);
}

bool pausing_fleet::is_orphaned(const sent_request& request) const
{
    return this->routers[request.router].run != request.run;
}

bool pausing_fleet::is_excused(std::size_t router, instant told) const
{
    const auto found = this->excused_until.find(router);
    return found != this->excused_until.end() && told <= found->second;
}

void pausing_fleet::run_request(std::size_t number, const grant& granted)
{
    const sent_request request{
        number, this->routers[number].run, granted, this->now()};
    this->queue.schedule(
        request.sent + this->one_way(),
        [this, request]
        {
            this->arrive(request);
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
        const bool counts = this->now() >= one.from &&
                            this->now() < one.until &&
                            !this->is_excused(number, one.answered);
        if (!counts)
            continue;
        ++one.arrivals;
        this->worst_pause = std::max(this->worst_pause, one.arrivals);
    }
    const auto told = this->told_leaving.find({number, engine});
    if (told != this->told_leaving.end() &&
        !this->is_excused(number, told->second) &&
        this->now() - told->second > leaving_bound)
        ++this->late_arrivals;
}

void pausing_fleet::arrive(const sent_request& request)
{
    const std::size_t index = request.granted.engine.value - 1;
    this->record_arrival(request.router, index);
    engine& one = this->engines[index];
    if (this->is_rejected(one))
    {
        const instant now = this->now();
        if (!this->is_orphaned(request))
            this->pauses[{request.router, index}].push_back(
                {now, now + pause_grace, now + this->settings.pause, 0});
        this->respond(request, modelled_server::result::rejected);
        return;
    }
    std::uniform_int_distribution<duration::rep> length(
        this->settings.shortest_run.count(),
        2 * this->settings.shortest_run.count());
    one.server->receive(
        duration(length(this->random)),
        [this, request](modelled_server::result result)
        {
            this->respond(request, result);
        });
    this->peak = std::max(
        this->peak, one.server->running_count() + one.server->waiting_count());
}

void pausing_fleet::respond(
    const sent_request& request, modelled_server::result result)
{
    if (this->is_orphaned(request))
        return;
    const std::size_t index = request.granted.engine.value - 1;
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
        request.router,
        this->now() + this->one_way(),
        [this, request, notice]
        {
            this->receive_response(request, notice);
        });
}

void pausing_fleet::receive_response(
    const sent_request& request, const server_notice& notice)
{
    const std::size_t index = request.granted.engine.value - 1;
    if (notice.leaving)
    {
        const auto [told, is_first] = this->told_leaving.try_emplace(
            {request.router, index}, this->now());
        if (!is_first && this->is_excused(request.router, told->second))
            told->second = this->now();
    }
    this->handle_notice(
        request.router, request.granted.engine, notice, request.sent);
    attempt_result attempt;
    attempt.how = notice.no_room ? attempt_result::end::refused_not_run
                                 : attempt_result::end::answered;
    attempt.no_room = notice.no_room;
    attempt.total = this->now() - request.sent;
    attempt.first_byte = attempt.total / 2;
    this->end_attempt(request.router, request.granted, attempt);
}

} // namespace roseworks::testing
