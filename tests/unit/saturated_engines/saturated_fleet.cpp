#include "saturated_fleet.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::testing
{

namespace
{

constexpr duration run_length = 500ms;
constexpr duration prompt_limit = 400ms;
constexpr std::size_t engine_queue = 36;

} // namespace

saturated_fleet::saturated_fleet(
    const options& config, std::vector<request_class> kinds)
    : router_fleet(config)
    , settings(config)
    , classes(std::move(kinds))
    , class_of(config.routers)
{
    modelled_server::options engine;
    engine.slots = config.slots;
    engine.queue_places = engine_queue;
    for (std::size_t i = 0; i < config.engines; ++i)
        this->engines.push_back(
            std::make_unique<modelled_server>(this->queue, engine));
}

double saturated_fleet::capacity() const
{
    const double slots =
        static_cast<double>(this->engines.size()) * this->settings.slots;
    return slots / std::chrono::duration<double>(run_length).count();
}

std::size_t saturated_fleet::longest_queue(instant from) const
{
    std::size_t longest = 0;
    for (const queue_length& one : this->queue_lengths)
        longest = one.when < from ? longest : std::max(longest, one.waiting);
    return longest;
}

double saturated_fleet::prompt_share(instant from) const
{
    std::size_t all = 0;
    std::size_t prompt = 0;
    for (const answer& one : this->answers)
    {
        if (one.sent < from)
            continue;
        ++all;
        prompt += one.until_first_event <= prompt_limit ? 1 : 0;
    }
    return all == 0 ? 0
                    : static_cast<double>(prompt) / static_cast<double>(all);
}

std::size_t saturated_fleet::answers_since(instant from) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->answers,
        [from](const answer& one)
        {
            return one.ended >= from;
        }));
}

void saturated_fleet::restart_counts()
{
    for (request_class& one : this->classes)
        one.sent = one.answered = 0;
    for (auto& by_ticket : this->class_of)
        by_ticket.clear();
}

request_info saturated_fleet::make_request()
{
    std::uniform_real_distribution<double> chance(0, 1);
    double rest = chance(this->random);
    this->next_class = 0;
    while (this->next_class + 1 < this->classes.size() &&
           rest >= this->classes[this->next_class].share)
        rest -= this->classes[this->next_class++].share;
    request_class& kind = this->classes[this->next_class];
    ++kind.sent;
    request_info info;
    info.target = "m";
    info.rank = kind.rank;
    info.objective = this->now() + kind.objective;
    info.deadline = this->now() + kind.time_limit;
    return info;
}

void saturated_fleet::request_submitted(std::size_t number, ticket id)
{
    this->class_of[number][id.value] = this->next_class;
}

duration saturated_fleet::one_way()
{
    std::uniform_int_distribution<duration::rep> delay(
        this->settings.shortest_delay.count(),
        this->settings.longest_delay.count());
    return duration(delay(this->random));
}

void saturated_fleet::run_request(std::size_t number, const grant& granted)
{
    const instant sent = this->now();
    const std::uint64_t run = this->routers[number].run;
    // Events of engines are not dropped when the router restarts.
    this->queue.schedule(
        sent + this->one_way(),
        [this, number, granted, sent, run]
        {
            modelled_server& engine = *this->engines[granted.engine.value - 1];
            engine.receive(
                run_length,
                [this, number, granted, sent, run](
                    modelled_server::result result)
                {
                    if (this->routers[number].run != run)
                        return;
                    this->schedule_on(
                        number,
                        this->now() + this->one_way(),
                        [this, number, granted, sent, result]
                        {
                            this->handle_result(number, granted, sent, result);
                        });
                });
            this->queue_lengths.push_back(
                {this->now(), engine.waiting_count()});
        });
}

void saturated_fleet::handle_result(
    std::size_t number,
    const grant& granted,
    instant sent,
    modelled_server::result result)
{
    const modelled_server& engine = *this->engines[granted.engine.value - 1];
    server_notice notice;
    notice.load = server_load_notice{
        static_cast<std::uint32_t>(engine.running_count()),
        static_cast<std::uint32_t>(engine.waiting_count())};
    notice.no_room = result == modelled_server::result::rejected;
    this->handle_notice(number, granted.engine, notice, sent);
    attempt_result attempt;
    attempt.how = notice.no_room ? attempt_result::end::refused_not_run
                                 : attempt_result::end::answered;
    attempt.no_room = notice.no_room;
    attempt.total = this->now() - sent;
    attempt.first_byte = std::max(attempt.total - run_length, duration::zero());
    if (!notice.no_room)
    {
        this->answers.push_back({sent, this->now(), attempt.first_byte});
        const auto& by_ticket = this->class_of[number];
        const auto found = by_ticket.find(granted.request.value);
        if (found != by_ticket.end())
            ++this->classes[found->second].answered;
    }
    this->end_attempt(number, granted, attempt);
}

} // namespace roseworks::testing
