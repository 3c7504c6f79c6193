#include "app/gateway/placement_controller.hpp"

#include "core/crashes/server_life.hpp"
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
constexpr duration plan_interval_per_engine{100};
constexpr duration min_plan_interval = milliseconds(1);
constexpr duration max_plan_interval = milliseconds(10);

std::string_view to_string(engine_action action)
{
    return action == engine_action::load ? "load" : "unload";
}

std::string_view to_string(command_outcome outcome)
{
    switch (outcome)
    {
    case command_outcome::accepted:
        return "accepted";
    case command_outcome::already_so:
        return "already_so";
    case command_outcome::out_of_step:
        return "out_of_step";
    case command_outcome::fenced_off:
        return "fenced_off";
    case command_outcome::wrong_server:
        return "wrong_server";
    case command_outcome::refused:
        return "refused";
    case command_outcome::not_sent:
        return "not_sent";
    case command_outcome::withheld:
        return "withheld";
    case command_outcome::unknown:
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
bool is_from_later_run(
    const engine_state& engine, const holdings_report& report)
{
    constexpr std::uint64_t max_report_lag = 2; // orders
    return report.orders_taken + max_report_lag < engine.orders_taken;
}

std::int64_t whole_ms(duration length)
{
    return std::chrono::duration_cast<milliseconds>(length).count();
}

} // namespace

placement_controller::placement_controller(
    asio::io_context& context,
    options initial_settings,
    std::string own_name,
    const clock_port& time,
    event_sink& sink,
    engine_command_port& orders,
    const serving_view& known,
    residency_announcer::router_lister lister,
    residency_announcer::sender send_announcement)
    : loop(context)
    , settings(initial_settings)
    , clock(time)
    , events(sink)
    , commands(orders)
    , view(known)
    , tracker(initial_settings.engines)
    , demands(initial_settings.demands)
    , planner(initial_settings.planner)
    , announcer(
          context,
          initial_settings.announcements,
          std::move(own_name),
          time,
          this->tracker,
          this->demands,
          initial_settings.estimates_pace ? &this->paces : nullptr,
          std::move(lister),
          std::move(send_announcement))
    , step_timer(context)
{
}

void placement_controller::start()
{
    this->announcer.start();
}

void placement_controller::stop()
{
    this->stopped = true;
    this->step_timer.cancel();
    this->announcer.stop();
}

void placement_controller::deployment_changed(
    std::shared_ptr<const deployment> configuration)
{
    this->tracker.set_configuration(std::move(configuration));
    this->servers_changed();
}

void placement_controller::servers_changed()
{
    // Only the owner tracks engines; a new owner reads the whole view.
    // Thousands of servers change all the time, and other routers don't need
    // this.
    if (this->active)
        this->sync_engines();
}

void placement_controller::sync_engines()
{
    if (!this->view.config())
        return;
    std::vector<std::string> gone;
    for (const auto& [id, engine] : this->tracker.all())
    {
        const auto found = this->view.servers().find(id);
        if (found == this->view.servers().end() || found->second.superseded)
            gone.push_back(id);
    }
    for (const std::string& id : gone)
    {
        this->tracker.remove(id);
        this->paces.engine_removed(id);
    }
    for (const auto& [id, server] : this->view.servers())
    {
        const service_profile* service =
            this->view.config()->find_service(server.entry.service);
        if (service == nullptr || !service->engine || server.superseded)
            continue;
        if (this->settings.estimates_pace)
            this->paces.engine_listed(
                id, life_of(id, server.entry.born_ms).value);
        const bool is_new = this->tracker.update_entry(server.entry);
        if (is_new && this->active)
            this->schedule_report_read(id, milliseconds(0));
    }
    this->tracker.set_rate_limits(this->rate_limits);
}

void placement_controller::rate_limits_changed(
    std::map<std::string, double, std::less<>> requests_per_second)
{
    this->rate_limits = std::move(requests_per_second);
    this->tracker.set_rate_limits(this->rate_limits);
}

bool placement_controller::owns(instant now) const
{
    if (!this->tenure)
        return false;
    // If engines check fencing numbers, they refuse these orders once they have
    // taken one of a later owner. Continuing past the term, while the store is
    // unreachable, then risks nothing but a refusal.
    return now < this->tenure->until || this->settings.fences_checked;
}

void placement_controller::tenure_changed(std::optional<placement_tenure> held)
{
    const bool owned = this->tenure.has_value();
    const bool is_new = held && (!owned || held->fence != this->tenure->fence);
    // After the term, another router may have owned placement meanwhile.
    const bool expired = owned && this->clock.now() > this->tenure->until;
    if (owned && (!held || (is_new && expired)))
        this->end_ownership(
            held ? "the term has expired"
                 : "this router no longer holds the tenure");
    this->tenure = held;
    if (is_new)
        this->start_ownership();
    else if (held && this->active)
        this->announcer.set_fence(held->fence);
}

void placement_controller::term_ended()
{
    this->announcer.term_ended();
}

void placement_controller::start_ownership()
{
    this->events.report(
        event_id::placement_owned, {{"fence", this->tenure->fence}});
    this->announcer.set_fence(this->tenure->fence);
    if (!this->active)
    {
        this->paces.clear();
        this->sync_engines();
    }
    const bool continued = std::exchange(this->active, true);
    if (continued)
        return; // renewed with a new number: the tracked state is still valid
    ++this->takeover_count;
    this->tracker.take_over(
        this->settings.lease, std::exchange(this->other_owner_seen, false));
    for (const auto& [id, engine] : this->tracker.all())
        this->schedule_report_read(id, milliseconds(0));
    this->schedule_step();
}

void placement_controller::end_ownership(std::string_view reason)
{
    if (!std::exchange(this->active, false))
        return;
    this->events.report(
        event_id::placement_given_up,
        {{"fence", this->fence()}, {"reason", reason}});
    this->announcer.set_fence(std::nullopt);
    this->paces.clear();
    this->count_paces();
}

void placement_controller::estimate_paces(instant now)
{
    if (!this->settings.estimates_pace ||
        now - this->last_pace_estimate < this->settings.pace_interval)
        return;
    this->last_pace_estimate = now;
    for (const pace_change& change : this->paces.update(now))
    {
        this->announcer.engine_changed(change.engine, {});
        if (change.before != change.after)
            this->events.report(
                event_id::engine_pace_changed,
                {{"engine", change.engine},
                 {"percent", change.percent},
                 {"before", roseworks::to_string(change.before)},
                 {"after", roseworks::to_string(change.after)}});
    }
    this->count_paces();
}

void placement_controller::count_paces()
{
    for (const pace_class each :
         {pace_class::fast, pace_class::usual, pace_class::slow})
        this->pace_counts[static_cast<std::size_t>(each)] =
            this->paces.count(each);
}

void placement_controller::other_owner_announced(std::uint64_t fence)
{
    this->other_owner_seen = this->other_owner_seen || fence > this->fence();
    if (!this->tenure || fence <= this->tenure->fence)
        return;
    this->end_ownership("another router announced a later tenure");
    this->tenure.reset();
}

void placement_controller::handle_router_report(const router_report& message)
{
    if (!this->demands.apply_router_report(message, this->clock.now()) ||
        !this->active)
        return;
    if (this->settings.estimates_pace)
        this->paces.add(
            message.router, message.pace_samples, this->clock.now());
    // If an engine already holds the model, the router that reports demand has
    // missed the announcement.
    for (const servable_need& need : message.needs)
    {
        for (const auto& [id, engine] : this->tracker.all())
        {
            if (need.waiting != 0 && engine.state_confirmed &&
                !engine.entry.leaving && engine.holds(need.servable))
                this->announcer.announce_to(message.router, id);
        }
    }
    for (const std::string& engine : message.unreachable_engines)
        this->check_reachability(engine);
    if (!message.needs.empty())
        this->step();
}

void placement_controller::step()
{
    if (this->stopped || !this->active)
        return;
    const instant now = this->clock.now();
    for (const finished_order& done : this->tracker.complete_due_orders(now))
        this->announcer.engine_changed(done.engine, done.servable);
    for (const std::string& engine :
         this->tracker.take_unconfirmed_store_loads(now))
        this->schedule_report_read(engine, milliseconds(0));
    this->demands.tick(now);
    this->estimate_paces(now);
    const duration interval = std::clamp<duration>(
        plan_interval_per_engine * static_cast<int>(this->tracker.all().size()),
        min_plan_interval,
        max_plan_interval);
    const bool due = now - this->last_plan >= interval;
    if (!due)
    {
        this->schedule_step_after(interval - (now - this->last_plan));
        return;
    }
    this->last_plan = now;
    if (this->owns(now) && this->view.config())
    {
        for (const swap_order& order :
             this->planner.plan(this->tracker, this->demands, now))
            this->send(order);
        this->announcer.set_forecasts(this->planner.load_forecasts());
    }
    this->schedule_step();
}

void placement_controller::schedule_step()
{
    const instant now = this->clock.now();
    duration wait = step_interval;
    if (const auto next = this->tracker.next_completion())
        wait = std::clamp<duration>(*next - now, duration(100), wait);
    this->schedule_step_after(wait);
}

void placement_controller::schedule_step_after(duration wait)
{
    this->step_timer.expires_after(wait);
    this->step_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                this->step();
        });
}

void placement_controller::send(const swap_order& order)
{
    const engine_state* engine = this->tracker.find(order.engine);
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
         {"waiting", order.waiting},
         {"copies", order.copies},
         {"copies_needed", order.copies_needed},
         {"free_slots", order.free_slots}});
    const instant now = this->clock.now();
    pending_order pending;
    pending.number = ++this->last_order;
    pending.action = order.action;
    pending.model = order.model;
    pending.adapter = order.adapter;
    pending.source = order.source;
    const auto* use =
        this->demands.find_use(order.engine, servable_of(*engine, order));
    pending.running = use != nullptr && use->running != 0;
    this->tracker.order_sent(order.engine, std::move(pending), now);
    if (order.action == engine_action::unload)
        this->announcer.engine_changed(
            order.engine, servable_of(*engine, order));
    this->send_command({this->last_order, order, std::move(command), 0});
}

void placement_controller::send_command(sent_order sent)
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
        [this, sent = std::move(sent), sent_at](command_outcome outcome)
        {
            if (!this->stopped)
                this->handle_answer(sent, sent_at, outcome);
        });
}

bool placement_controller::is_pending(const sent_order& sent) const
{
    const engine_state* engine = this->tracker.find(sent.order.engine);
    return engine != nullptr && engine->order &&
           engine->order->number == sent.number;
}

bool placement_controller::retry(
    const sent_order& sent, command_outcome outcome)
{
    if (outcome != command_outcome::unknown || !this->active ||
        sent.retries >= this->settings.max_retries)
        return false;
    sent_order retried = sent;
    ++retried.retries;
    this->send_command(std::move(retried));
    return true;
}

void placement_controller::handle_answer(
    const sent_order& sent, instant sent_at, command_outcome outcome)
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
    if (outcome == command_outcome::fenced_off && this->fence() <= fence)
    {
        this->end_ownership("an engine has taken a later owner's order");
        this->tenure.reset();
        return;
    }
    // Ownership may have been lost and regained since the order was sent, and
    // the engine may have another pending order now.
    if (!this->is_pending(sent) || this->retry(sent, outcome))
        return;
    // A retry is out of step if the engine took an earlier copy.
    const bool earlier_taken =
        sent.retries != 0 && outcome == command_outcome::out_of_step;
    if (earlier_taken)
        outcome = command_outcome::unknown;
    const bool unconfirmed = this->tracker.order_answered(engine, outcome, now);
    if (outcome == command_outcome::wrong_server)
    {
        this->handle_replaced(engine);
        return;
    }
    if (const engine_state* state = this->tracker.find(engine))
        this->announcer.engine_changed(engine, servable_of(*state, order));
    if (unconfirmed)
        this->schedule_report_read(engine, this->settings.report_lag);
    this->step();
}

void placement_controller::schedule_report_read(
    const std::string& engine, milliseconds delay)
{
    if (!this->pending_report_reads.insert(engine).second)
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

void placement_controller::read_report(const std::string& engine)
{
    const engine_state* state = this->tracker.find(engine);
    if (state == nullptr || !this->active)
    {
        this->pending_report_reads.erase(engine);
        return;
    }
    this->commands.read_report(
        engine,
        state->entry.address,
        [this, engine, requested_in = this->takeover_count](
            const std::optional<holdings_report>& report)
        {
            if (this->stopped)
                return;
            this->pending_report_reads.erase(engine);
            // Another owner may have sent orders to the engine since this read
            // began.
            if (requested_in != this->takeover_count)
                this->schedule_report_read(engine, milliseconds(0));
            else
                this->handle_report(engine, report);
        });
}

void placement_controller::handle_report(
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
        this->schedule_report_read(engine, this->settings.busy_retry_delay);
        return;
    }
    if (!report)
    {
        this->handle_unreachable(engine);
        return;
    }
    const engine_state* state = this->tracker.find(engine);
    if (state != nullptr && is_from_later_run(*state, *report))
    {
        this->handle_replaced(engine);
        return;
    }
    const instant now = this->clock.now();
    if (state != nullptr && state->order && state->order->is_store_load())
        this->planner.store_load_ended(this->tracker, *state, now);
    this->tracker.apply_engine_report(engine, *report, now);
    this->announcer.engine_changed(engine, {});
    this->step();
}

void placement_controller::handle_unreachable(const std::string& engine)
{
    this->tracker.mark_unreachable(engine);
    this->schedule_report_read(engine, this->settings.report_retry_delay);
    this->step();
}

void placement_controller::handle_replaced(const std::string& engine)
{
    this->tracker.mark_replaced(engine);
    this->schedule_report_read(engine, this->settings.replaced_engine_delay);
    this->step();
}

void placement_controller::check_reachability(const std::string& engine)
{
    const engine_state* state = this->tracker.find(engine);
    if (state == nullptr || !state->state_confirmed ||
        !this->pending_checks.insert(engine).second)
        return;
    this->commands.read_report(
        engine,
        state->entry.address,
        [this, engine](const std::optional<holdings_report>& report)
        {
            this->pending_checks.erase(engine);
            if (report || this->stopped || !this->active)
                return;
            this->events.report(
                event_id::engine_examined,
                {{"engine", engine},
                 {"outcome", "no_report"},
                 {"orders_taken", 0},
                 {"busy", 0}});
            this->handle_unreachable(engine);
        });
}

} // namespace roseworks::app
