#include "tests/soak/ledger_watch.hpp"

#include "tests/soak/soak_fleet.hpp"

#include <boost/json/array.hpp>

#include <algorithm>
#include <utility>

namespace roseworks::test
{

namespace
{

namespace json = boost::json;

constexpr auto pause = std::chrono::milliseconds(50);
/// Ledgers grow with the run; they are read less often than residents.
constexpr int rounds_per_ledger = 5;
constexpr std::chrono::seconds state_limit{1};

std::uint64_t number_of(const json::value& value)
{
    return value.to_number<std::uint64_t>();
}

} // namespace

ledger_watch::ledger_watch(const fleet& nodes)
    : all_accounts(nodes.engines_count())
{
    for (std::size_t i = 0; i < nodes.engines_count(); ++i)
    {
        auto view = std::make_unique<engine_view>();
        view->address = nodes.engine_address(i);
        view->ledger_read = std::chrono::steady_clock::now();
        this->views.push_back(std::move(view));
    }
    this->thread = std::jthread(
        [this](const std::stop_token& stopped)
        {
            this->watch(stopped);
        });
}

void ledger_watch::engine_ended(std::size_t engine)
{
    engine_view& view = *this->views.at(engine);
    const std::scoped_lock lock(view.mutex);
    this->fold(engine);
    view.lost_since = view.ledger_read;
    ++view.changes;
}

void ledger_watch::engine_back(std::size_t engine)
{
    engine_view& view = *this->views.at(engine);
    const std::scoped_lock lock(view.mutex);
    const auto now = std::chrono::steady_clock::now();
    this->unseen_spans.push_back({engine, view.lost_since, now});
    view.ledger_read = now;
    ++view.changes;
}

void ledger_watch::reports_lag(std::size_t engine, bool lagging)
{
    engine_view& view = *this->views.at(engine);
    const std::scoped_lock lock(view.mutex);
    view.lagging = lagging;
    ++view.changes;
}

void ledger_watch::finish()
{
    this->thread.request_stop();
    this->thread.join();
    this->read_ledgers();
    for (std::size_t i = 0; i < this->views.size(); ++i)
        this->fold(i);
}

const std::vector<engine_account>& ledger_watch::accounts() const
{
    return this->all_accounts;
}

const std::vector<replica_excess>& ledger_watch::excesses() const
{
    return this->all_excesses;
}

const std::vector<outage>& ledger_watch::unseen() const
{
    return this->unseen_spans;
}

std::uint64_t ledger_watch::samples() const
{
    return this->sample_count;
}

void ledger_watch::watch(const std::stop_token& stopped)
{
    for (int round = 0; !stopped.stop_requested(); ++round)
    {
        if (round % rounds_per_ledger == 0)
            this->read_ledgers();
        this->compare_residents();
        std::this_thread::sleep_for(pause);
    }
}

void ledger_watch::read_ledgers()
{
    for (const auto& view : this->views)
    {
        const std::scoped_lock lock(view->mutex);
        this->read_ledger(*view);
    }
}

void ledger_watch::read_ledger(engine_view& view)
{
    const auto asked = std::chrono::steady_clock::now();
    json::value ledger = get_json(view.address, "/ledger");
    if (!ledger.is_object())
        return;
    view.ledger = std::move(ledger.as_object());
    view.ledger_read = asked;
}

void ledger_watch::fold(std::size_t engine)
{
    const json::object ledger =
        std::exchange(this->views.at(engine)->ledger, {});
    if (ledger.empty())
        return;
    engine_account& account = this->all_accounts.at(engine);
    for (const json::value& item : ledger.at("executions").as_array())
    {
        const auto& id = item.at("request_id").as_string();
        account.runs[std::string(id)] += number_of(item.at("count"));
    }
    account.rejected_memory += number_of(ledger.at("rejected_memory"));
    account.peak_memory =
        std::max(account.peak_memory, number_of(ledger.at("peak_memory")));
    for (const auto& [name, peak] : ledger.at("resident_peak").as_object())
    {
        std::uint64_t& most = account.resident_peak[std::string(name)];
        most = std::max(most, number_of(peak));
    }
}

// Engines are read one after another, twice over: what an engine shows under
// one id both times was there in between, while the others were read.
void ledger_watch::compare_residents()
{
    const auto changes_before = this->changes();
    if (changes_before.empty())
        return;
    std::vector<residents> first;
    for (const auto& view : this->views)
        first.push_back(this->read_residents(*view));
    const auto between = std::chrono::steady_clock::now();
    std::map<std::string, std::vector<std::string>> together;
    for (std::size_t i = 0; i < this->views.size(); ++i)
    {
        for (const auto& [id, servable] : this->read_residents(*this->views[i]))
        {
            if (first[i].contains(id))
            {
                together[servable].push_back(
                    "e" + std::to_string(i + 1) + "/" + std::to_string(id));
            }
        }
    }
    if (changes_before != this->changes())
        return;
    ++this->sample_count;
    for (const auto& [servable, where] : together)
    {
        if (where.size() <= max_replicas(servable))
            continue;
        std::string text;
        for (const std::string& place : where)
            text += (text.empty() ? "" : " ") + place;
        this->all_excesses.push_back({servable, text, between});
    }
}

ledger_watch::residents ledger_watch::read_residents(engine_view& view) const
{
    http_call call;
    call.target = "/v1/engine/state";
    call.limit = state_limit;
    const http_reply reply = send(view.address, call);
    residents found;
    if (reply.status != 200)
        return found;
    const json::value state = reply.json();
    for (const json::value& item : state.at("residents").as_array())
    {
        found[number_of(item.at("replica"))] =
            std::string(item.at("servable").as_string());
    }
    return found;
}

std::vector<std::uint64_t> ledger_watch::changes()
{
    std::vector<std::uint64_t> all;
    for (const auto& view : this->views)
    {
        const std::scoped_lock lock(view->mutex);
        if (view->lagging)
            return {};
        all.push_back(view->changes);
    }
    return all;
}

} // namespace roseworks::test
