#include "app/gateway/placement_desk.hpp"

#include "core/serving/servable_key.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

using std::chrono::milliseconds;

/// Maximum interval between steps. A step finds engines that became free at an
/// unplanned time, expired demand, and idle models that may be unloaded by now.
constexpr milliseconds step_interval{20};

/// Minimum interval between two runs of the planner, in proportion to the
/// number of engines because the cost of a run grows with it. Demand that comes
/// meanwhile is planned for together.
constexpr duration plan_pause_per_engine{100};
constexpr duration shortest_plan_pause = milliseconds(1);
constexpr duration longest_plan_pause = milliseconds(10);

std::string_view to_string(engine_action action)
{
    return action == engine_action::load ? "load" : "unload";
}

std::string_view to_string(command_end end)
{
    switch (end)
    {
    case command_end::accepted:
        return "accepted";
    case command_end::already_so:
        return "already_so";
    case command_end::out_of_step:
        return "out_of_step";
    case command_end::fenced_off:
        return "fenced_off";
    case command_end::wrong_server:
        return "wrong_server";
    case command_end::refused:
        return "refused";
    case command_end::not_sent:
        return "not_sent";
    case command_end::withheld:
        return "withheld";
    case command_end::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string servable_of(const engine_state& engine, const swap_order& order)
{
    std::string name = order.model;
    if (!order.adapter.empty())
        name += "/" + order.adapter;
    return servable_key(engine.entry.service, name);
}

/// @return Whether a report comes from a later run at the engine's address: a
///         restart resets the order count. A lower count alone doesn't show
///         this, since reports lag by up to two orders.
bool is_of_later_run(const engine_state& engine, const holdings_report& report)
{
    constexpr std::uint64_t max_report_lag = 2; // orders
    return report.orders_taken + max_report_lag < engine.orders_taken;
}

std::int64_t whole_ms(duration length)
{
    return std::chrono::duration_cast<milliseconds>(length).count();
}

} // namespace

placement_desk::placement_desk(
    asio::io_context& context,
    options chosen,
    std::string own_name,
    const clock_port& time,
    event_sink& sink,
    engine_command_port& orders,
    const serving_view& known,
    residency_teller::router_lister all,
    residency_teller::sender told)
    : loop(context)
    , settings(chosen)
    , clock(time)
    , events(sink)
    , commands(orders)
    , view(known)
    , book(chosen.engines)
    , needs(chosen.needs)
    , planner(chosen.planner)
    , words(
          context,
          chosen.words,
          std::move(own_name),
          time,
          this->book,
          this->needs,
          std::move(all),
          std::move(told))
    , step_timer(context)
{
}

void placement_desk::start()
{
    this->words.start();
}

void placement_desk::stop()
{
    this->stopped = true;
    this->step_timer.cancel();
    this->words.stop();
}

void placement_desk::configured(std::shared_ptr<const deployment> configuration)
{
    this->book.set_configuration(std::move(configuration));
    this->servers_changed();
}

void placement_desk::servers_changed()
{
    // Only the owner tracks engines; a new owner reads the whole view.
    // Thousands of servers change all the time, and other routers don't need
    // this.
    if (this->at_work)
        this->list_servers();
}

void placement_desk::list_servers()
{
    if (!this->view.config())
        return;
    std::vector<std::string> gone;
    for (const auto& [id, engine] : this->book.all())
    {
        const auto found = this->view.servers().find(id);
        if (found == this->view.servers().end() || found->second.superseded)
            gone.push_back(id);
    }
    for (const std::string& id : gone)
        this->book.remove(id);
    for (const auto& [id, server] : this->view.servers())
    {
        const service_profile* service =
            this->view.config()->find_service(server.entry.service);
        if (service == nullptr || !service->engine || server.superseded)
            continue;
        const bool is_new = this->book.update_entry(server.entry);
        if (is_new && this->at_work)
            this->examine(id, milliseconds(0));
    }
    this->book.set_rate_limits(this->named_limits);
}

void placement_desk::limits_named(
    std::map<std::string, double, std::less<>> requests_per_second)
{
    this->named_limits = std::move(requests_per_second);
    this->book.set_rate_limits(this->named_limits);
}

bool placement_desk::owns(instant now) const
{
    if (!this->tenure)
        return false;
    // If engines check fencing numbers, they refuse these orders once they have
    // taken one of a later owner. Continuing past the term, while the store is
    // unreachable, then risks nothing but a refusal.
    return now < this->tenure->until || this->settings.fences_checked;
}

void placement_desk::tenure_changed(std::optional<placement_tenure> held)
{
    const bool owned = this->tenure.has_value();
    const bool is_new = held && (!owned || held->fence != this->tenure->fence);
    // After the term, another router may have owned placement meanwhile.
    const bool expired = owned && this->clock.now() > this->tenure->until;
    if (owned && (!held || (is_new && expired)))
        this->give_up(
            held ? "the term has expired"
                 : "the store no longer lists this router as the owner");
    this->tenure = held;
    if (is_new)
        this->take_up();
    else if (held && this->at_work)
        this->words.owned_under(held->fence);
}

void placement_desk::term_ended()
{
    this->words.term_ended();
}

void placement_desk::take_up()
{
    this->events.report(
        event_id::placement_owned, {{"fence", this->tenure->fence}});
    this->words.owned_under(this->tenure->fence);
    if (!this->at_work)
        this->list_servers();
    const bool continued = std::exchange(this->at_work, true);
    if (continued)
        return; // renewed with a new number: the tracked state is still valid
    ++this->takeovers;
    this->book.take_over(
        this->settings.lease, std::exchange(this->another_owned, false));
    for (const auto& [id, engine] : this->book.all())
        this->examine(id, milliseconds(0));
    this->arm_step();
}

void placement_desk::give_up(std::string_view reason)
{
    if (!std::exchange(this->at_work, false))
        return;
    this->events.report(
        event_id::placement_given_up,
        {{"fence", this->fence()}, {"reason", reason}});
    this->words.owned_under(std::nullopt);
}

void placement_desk::other_owner_heard(std::uint64_t fence)
{
    this->another_owned = this->another_owned || fence > this->fence();
    if (!this->tenure || fence <= this->tenure->fence)
        return;
    this->give_up("another router announced a later tenure");
    this->tenure.reset();
}

void placement_desk::word_heard(const router_report& word)
{
    if (!this->needs.apply_router_report(word, this->clock.now()) ||
        !this->at_work)
        return;
    // If an engine already holds the model, the router that reports demand has
    // missed the announcement.
    for (const servable_need& need : word.needs)
    {
        for (const auto& [id, engine] : this->book.all())
        {
            if (need.waiting != 0 && engine.state_confirmed &&
                !engine.entry.leaving && engine.holds(need.servable))
                this->words.needed_by(word.router, id);
        }
    }
    for (const std::string& engine : word.unreachable_engines)
        this->look_at(engine);
    if (!word.needs.empty())
        this->step();
}

void placement_desk::step()
{
    if (this->stopped || !this->at_work)
        return;
    const instant now = this->clock.now();
    for (const finished_order& done : this->book.complete_due_orders(now))
        this->words.changed(done.engine, done.servable);
    for (const std::string& engine :
         this->book.take_unconfirmed_store_loads(now))
        this->examine(engine, milliseconds(0));
    this->needs.tick(now);
    const duration pause = std::clamp<duration>(
        plan_pause_per_engine * static_cast<int>(this->book.all().size()),
        shortest_plan_pause,
        longest_plan_pause);
    const bool due = now - this->last_plan >= pause;
    if (!due)
    {
        this->arm_step_in(pause - (now - this->last_plan));
        return;
    }
    this->last_plan = now;
    if (this->owns(now) && this->view.config())
    {
        for (const swap_order& order :
             this->planner.plan(this->book, this->needs, now))
            this->send(order);
        this->words.foreseen(this->planner.load_forecasts());
    }
    this->arm_step();
}

void placement_desk::arm_step()
{
    const instant now = this->clock.now();
    duration wait = step_interval;
    if (const auto next = this->book.next_completion())
        wait = std::clamp<duration>(*next - now, duration(100), wait);
    this->arm_step_in(wait);
}

void placement_desk::arm_step_in(duration wait)
{
    this->step_timer.expires_after(wait);
    this->step_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                this->step();
        });
}

void placement_desk::send(const swap_order& order)
{
    const engine_state* engine = this->book.find(order.engine);
    const std::uint64_t fence = this->tenure->fence;
    engine_command command;
    command.engine = order.engine;
    command.address = engine->entry.address;
    command.action = order.action;
    command.model = order.model;
    command.adapter = order.adapter;
    command.fence = fence;
    command.orders_taken = engine->orders_taken;
    this->events.report(
        event_id::engine_ordered,
        {{"engine", order.engine},
         {"action", to_string(order.action)},
         {"model", order.model},
         {"adapter", order.adapter},
         {"source", roseworks::to_string(order.source)},
         {"fence", fence},
         {"orders_taken", engine->orders_taken},
         {"waiting", order.waiting}});
    const instant now = this->clock.now();
    pending_order pending;
    pending.number = ++this->last_order;
    pending.action = order.action;
    pending.model = order.model;
    pending.adapter = order.adapter;
    pending.source = order.source;
    const auto* use =
        this->needs.find_use(order.engine, servable_of(*engine, order));
    pending.running = use != nullptr && use->running != 0;
    this->book.order_sent(order.engine, std::move(pending), now);
    if (order.action == engine_action::unload)
        this->words.changed(order.engine, servable_of(*engine, order));
    this->send_command({this->last_order, order, std::move(command), 0});
}

void placement_desk::send_command(sent_order sent)
{
    const std::uint64_t fence = sent.command.fence;
    const instant sent_at = this->clock.now();
    const engine_command command = sent.command;
    this->commands.send_command(
        command,
        [this, fence]
        {
            return this->tenure && this->tenure->fence >= fence &&
                   this->owns(this->clock.now());
        },
        [this, sent = std::move(sent), sent_at](command_end outcome)
        {
            if (!this->stopped)
                this->answered(sent, sent_at, outcome);
        });
}

bool placement_desk::is_pending(const sent_order& sent) const
{
    const engine_state* engine = this->book.find(sent.order.engine);
    return engine != nullptr && engine->order &&
           engine->order->number == sent.number;
}

bool placement_desk::repeat(const sent_order& sent, command_end outcome)
{
    if (outcome != command_end::unknown || !this->at_work ||
        sent.repeats >= this->settings.most_repeats)
        return false;
    sent_order again = sent;
    ++again.repeats;
    this->send_command(std::move(again));
    return true;
}

void placement_desk::answered(
    const sent_order& sent, instant sent_at, command_end outcome)
{
    const swap_order& order = sent.order;
    const std::string& engine = order.engine;
    const std::uint64_t fence = sent.command.fence;
    const instant now = this->clock.now();
    this->events.report(
        event_id::engine_order_ended,
        {{"engine", engine},
         {"action", to_string(order.action)},
         {"model", order.model},
         {"adapter", order.adapter},
         {"outcome", to_string(outcome)},
         {"after_ms", whole_ms(now - sent_at)}});
    if (outcome == command_end::fenced_off && this->fence() <= fence)
    {
        this->give_up("an engine has taken a later owner's order");
        this->tenure.reset();
        return;
    }
    // Ownership may have been lost and regained since the order was sent, and
    // the engine may have another pending order now.
    if (!this->is_pending(sent) || this->repeat(sent, outcome))
        return;
    // A retry is out of step if the engine took an earlier copy.
    const bool earlier_taken =
        sent.repeats != 0 && outcome == command_end::out_of_step;
    if (earlier_taken)
        outcome = command_end::unknown;
    const bool unconfirmed = this->book.order_answered(engine, outcome, now);
    if (outcome == command_end::wrong_server)
    {
        this->run_is_over(engine);
        return;
    }
    if (const engine_state* state = this->book.find(engine))
        this->words.changed(engine, servable_of(*state, order));
    if (unconfirmed)
        this->examine(engine, this->settings.report_lag);
    this->step();
}

void placement_desk::examine(const std::string& engine, milliseconds delay)
{
    if (!this->examining.insert(engine).second)
        return;
    auto timer = std::make_shared<asio::steady_timer>(this->loop);
    timer->expires_after(delay);
    timer->async_wait(
        [this, engine, timer](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            this->read_report(engine);
        });
}

void placement_desk::read_report(const std::string& engine)
{
    const engine_state* state = this->book.find(engine);
    if (state == nullptr || !this->at_work)
    {
        this->examining.erase(engine);
        return;
    }
    this->commands.read_report(
        engine,
        state->entry.address,
        [this, engine, asked_in = this->takeovers](
            const std::optional<holdings_report>& report)
        {
            if (this->stopped)
                return;
            this->examining.erase(engine);
            // Another owner may have sent orders to the engine since this read
            // began.
            if (asked_in != this->takeovers)
                this->examine(engine, milliseconds(0));
            else
                this->report_read(engine, report);
        });
}

void placement_desk::report_read(
    const std::string& engine, const std::optional<holdings_report>& report)
{
    this->events.report(
        event_id::engine_examined,
        {{"engine", engine},
         {"outcome", report ? "read" : "no_report"},
         {"orders_taken", report ? report->orders_taken : 0},
         {"busy", report && report->busy ? 1 : 0}});
    if (report && report->busy)
    {
        this->examine(engine, this->settings.busy_retry);
        return;
    }
    if (!report)
    {
        this->lost(engine);
        return;
    }
    const engine_state* state = this->book.find(engine);
    if (state != nullptr && is_of_later_run(*state, *report))
    {
        this->run_is_over(engine);
        return;
    }
    const instant now = this->clock.now();
    if (state != nullptr && state->order && state->order->is_store_load())
        this->planner.store_load_ended(this->book, *state, now);
    this->book.apply_engine_report(engine, *report, now);
    this->words.changed(engine, {});
    this->step();
}

void placement_desk::lost(const std::string& engine)
{
    this->book.mark_unreachable(engine);
    this->examine(engine, this->settings.examine_retry);
    this->step();
}

void placement_desk::run_is_over(const std::string& engine)
{
    this->book.mark_replaced(engine);
    this->examine(engine, this->settings.wrong_server_wait);
    this->step();
}

void placement_desk::look_at(const std::string& engine)
{
    const engine_state* state = this->book.find(engine);
    if (state == nullptr || !state->state_confirmed ||
        !this->looking.insert(engine).second)
        return;
    this->commands.read_report(
        engine,
        state->entry.address,
        [this, engine](const std::optional<holdings_report>& report)
        {
            this->looking.erase(engine);
            if (report || this->stopped || !this->at_work)
                return;
            this->events.report(
                event_id::engine_examined,
                {{"engine", engine},
                 {"outcome", "no_report"},
                 {"orders_taken", 0},
                 {"busy", 0}});
            this->lost(engine);
        });
}

} // namespace roseworks::app
