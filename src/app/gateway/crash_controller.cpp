#include "app/gateway/crash_controller.hpp"

#include "ports/hex_text.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

crash_tracker::options
tracker_options(const crash_controller::options& settings)
{
    crash_tracker::options made;
    made.router = settings.router;
    made.seed = settings.seed;
    return made;
}

std::int64_t to_ms(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

} // namespace

crash_controller::crash_controller(
    asio::io_context& context,
    options initial_settings,
    const clock_port& time,
    event_sink& sink,
    gateway_peer_port& others,
    crash_archive_port& stored,
    reach_opinion_port& opinions,
    const serving_view& servers,
    std::function<void()> blocked_handler)
    : loop(context)
    , settings(std::move(initial_settings))
    , clock(time)
    , events(sink)
    , peers(others)
    , archive(stored)
    , view(servers)
    , on_blocked(std::move(blocked_handler))
    , tracker(tracker_options(this->settings), time.now())
    , keeper(this->tracker)
    , examiner(
          context,
          opinions,
          {[this](server_life life, crash_evidence evidence)
           {
               this->life_ended(life, evidence);
           },
           [this](server_life life)
           {
               this->tracker.life_reached(life, this->clock.now());
               this->flush();
           }})
    , timer(context)
{
    this->published.put(this->tracker.blocked());
}

void crash_controller::start()
{
    this->schedule_tick();
    this->archive.read(
        [this](const std::vector<archived_block>& all)
        {
            this->restore(all);
        });
}

void crash_controller::restore(const std::vector<archived_block>& all)
{
    this->keeper.restore(all, this->clock.wall(), this->clock.now());
    this->events.report(event_id::crashes_restored, {{"blocks", all.size()}});
    this->flush();
}

void crash_controller::stop()
{
    this->stopped = true;
    this->archive.stop();
    this->timer.cancel();
    this->examiner.stop();
}

void crash_controller::post(std::function<void()> action)
{
    asio::post(
        this->loop,
        [this, action = std::move(action)]
        {
            if (!this->stopped)
                action();
        });
}

void crash_controller::routers_listed(std::span<const router_address> all)
{
    std::vector<std::string> others;
    std::string own;
    for (const router_address& one : all)
    {
        if (one.name == this->settings.router)
            own = one.address;
        else
            others.push_back(one.address);
    }
    this->tracker.set_routers(std::move(others), std::move(own));
    this->flush();
}

void crash_controller::servers_changed()
{
    this->find_ended_lives();
    for (const auto& [id, record] : this->view.servers())
    {
        listed_life& known = this->listed[id];
        known.born_ms = record.entry.born_ms;
        known.superseded = record.superseded;
    }
    this->flush();
}

void crash_controller::find_ended_lives()
{
    const instant now = this->clock.now();
    for (auto place = this->listed.begin(); place != this->listed.end();)
    {
        const auto& [id, known] = *place;
        const server_life life = life_of(id, known.born_ms);
        const auto found = this->view.servers().find(id);
        if (found == this->view.servers().end())
        {
            this->tracker.life_ended(life, crash_evidence::removed, now);
            place = this->listed.erase(place);
            continue;
        }
        if (found->second.entry.born_ms != known.born_ms)
            this->tracker.life_ended(life, crash_evidence::restarted, now);
        else if (found->second.superseded && !known.superseded)
            this->tracker.life_ended(life, crash_evidence::replaced, now);
        ++place;
    }
}

void crash_controller::report_received(
    const crash_report& report, std::string_view from)
{
    this->tracker.report_received(report, from, this->clock.now());
    this->flush();
}

void crash_controller::report_received(
    const part_crash_report& report, std::string_view from)
{
    this->tracker.report_received(report, from, this->clock.now());
    this->flush();
}

void crash_controller::life_ended(server_life life, crash_evidence evidence)
{
    this->tracker.life_ended(life, evidence, this->clock.now());
    this->flush();
}

blocked_requests_ptr crash_controller::blocked() const
{
    return this->published.get();
}

void crash_controller::run_broken(const broken_run_report& run)
{
    this->post(
        [this, run]
        {
            this->handle_broken(run);
        });
}

void crash_controller::handle_broken(const broken_run_report& run)
{
    this->tracker.run_broken(
        run.content, run.life, run.end, run.sent, this->clock.now());
    if (this->is_examined(run))
        this->examiner.examine(run.life, run.address);
    this->flush();
}

bool crash_controller::is_examined(const broken_run_report& run)
{
    // Timeouts and callers that leave are too frequent for a connection each.
    if (run.end != run_end::closed)
        return run.end == run_end::connection;
    const blocked_requests_ptr known = this->published.get();
    const auto is_suspect = [&known](const prompt_part& part)
    {
        return known->suspects.contains(part.id);
    };
    if (known->suspects.contains(run.content.request) ||
        std::ranges::any_of(run.content.parts, is_suspect))
        return true;
    // All answers of a service may end with their connections.
    const instant now = this->clock.now();
    if (now < this->next_unsuspected_examination)
        return false;
    this->next_unsuspected_examination =
        now + this->settings.unsuspected_interval;
    return true;
}

void crash_controller::server_replaced(server_life life)
{
    this->post(
        [this, life]
        {
            this->life_ended(life, crash_evidence::replaced);
        });
}

void crash_controller::run_answered(fingerprint request)
{
    this->post(
        [this, request]
        {
            this->tracker.run_answered(request, this->clock.now());
            this->flush();
        });
}

void crash_controller::parts_answered(
    std::vector<prompt_part> parts, instant began)
{
    this->post(
        [this, parts = std::move(parts), began]
        {
            this->tracker.parts_answered(parts, began, this->clock.now());
            this->flush();
        });
}

void crash_controller::trial_started(fingerprint subject)
{
    this->post(
        [this, subject]
        {
            this->tracker.trial_started(subject, this->clock.now());
            this->flush();
        });
}

void crash_controller::schedule_tick()
{
    this->timer.expires_after(this->settings.tick_interval);
    this->timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            this->tracker.tick(this->clock.now());
            this->flush();
            this->schedule_tick();
        });
}

void crash_controller::flush()
{
    for (const crash_tracker::outgoing_report& report :
         this->tracker.take_reports())
        this->peers.send(report.recipients, report.content);
    for (const crash_tracker::outgoing_part_report& report :
         this->tracker.take_part_reports())
        this->peers.send(report.recipients, report.content);
    if (!this->tracker.take_is_changed())
        return;
    this->published.put(this->tracker.blocked());
    this->update_archive();
    bool is_any_blocked = false;
    for (const crash_change& change : this->tracker.take_changes())
    {
        this->log(change);
        is_any_blocked =
            is_any_blocked || change.what == crash_change::kind::blocked;
    }
    if (is_any_blocked)
        this->on_blocked();
}

void crash_controller::update_archive()
{
    const crash_keeper::changes changes =
        this->keeper.take_changes(this->clock.wall(), this->clock.now());
    for (const archived_block& block : changes.written)
        this->archive.write(block);
    for (const std::uint64_t subject : changes.removed)
        this->archive.remove(subject);
}

void crash_controller::log(const crash_change& change)
{
    const std::string content = to_hex(change.request.value);
    const std::string_view subject = change.is_part ? "prompt_part" : "request";
    switch (change.what)
    {
    case crash_change::kind::recorded:
        this->events.report(
            event_id::crash_recorded,
            {{"content", content},
             {"life", to_hex(change.life.value)},
             {"evidence", to_string(change.evidence)},
             {"age_ms", to_ms(change.age)},
             {"from", change.from}});
        break;
    case crash_change::kind::blocked:
        this->events.report(
            event_id::request_blocked,
            {{"content", content},
             {"subject", subject},
             {"lives", change.lives},
             {"explained", change.explained},
             {"for_ms", to_ms(change.blocked_for)}});
        break;
    case crash_change::kind::cleared:
        this->events.report(
            event_id::request_cleared,
            {{"content", content},
             {"subject", subject},
             {"lives", change.lives},
             {"from", change.from}});
        break;
    }
}

} // namespace roseworks::app
