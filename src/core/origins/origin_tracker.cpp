#include "core/origins/origin_tracker.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace roseworks
{

namespace
{

constexpr duration cleaning_interval = std::chrono::seconds(1);

/// What a router saw up to shortly before another one started continues what
/// the other sees itself: servers are listed for longer than this.
constexpr duration max_history_gap = std::chrono::seconds(2);

/// Records that a router sends to one that starts.
constexpr std::size_t max_records_for_start = 8192;

std::uint64_t weight_of(std::string_view router, stream_key stream)
{
    return XXH64(router.data(), router.size(), stream.value);
}

software_version software_in(const origin_message& message, stream_key stream)
{
    const auto found = std::ranges::find(
        message.records, stream.value, &origin_record::stream);
    return found == message.records.end() ? software_version()
                                          : software_version(found->software);
}

} // namespace

origin_tracker::origin_tracker(options chosen, instant now)
    : settings(std::move(chosen))
    , history(this->settings.first_start ? instant() : now)
    , random(this->settings.seed)
    , last_number(this->random() >> 16)
    , next_cleaning(now + cleaning_interval)
{
}

void origin_tracker::set_routers(std::vector<router> all, instant now)
{
    const auto rank = static_cast<std::size_t>(std::ranges::count_if(
        all,
        [this](const router& one)
        {
            return one.name < this->settings.router;
        }));
    std::erase_if(
        all,
        [this](const router& one)
        {
            return one.name == this->settings.router;
        });
    const bool is_first = this->others.empty() && !all.empty();
    this->others = std::move(all);
    if (!is_first || this->settings.first_start || this->start_rounds != 0)
        return;
    this->next_start_query = now;
    this->log_read_at =
        now + this->settings.log_read_delay +
        this->settings.log_read_interval *
            static_cast<int>(std::min(rank, this->settings.max_log_rank));
}

void origin_tracker::set_stream_lifetime(duration lifetime)
{
    this->stream_lifetime = std::max(this->stream_lifetime, lifetime);
}

void origin_tracker::servers_listed(
    std::span<const listed_software> servers, instant now)
{
    this->history.listed(servers, now);
}

std::vector<std::string> origin_tracker::holders_of(stream_key stream) const
{
    std::vector<std::pair<std::uint64_t, const router*>> ranked;
    ranked.reserve(this->others.size());
    for (const router& one : this->others)
        ranked.emplace_back(weight_of(one.name, stream), &one);
    const std::size_t count = std::min(this->settings.holders, ranked.size());
    std::ranges::partial_sort(
        ranked,
        ranked.begin() + static_cast<std::ptrdiff_t>(count),
        std::greater());
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < count; ++i)
        addresses.push_back(ranked[i].second->address);
    return addresses;
}

bool origin_tracker::holds(std::string_view name, stream_key stream) const
{
    const std::uint64_t own = weight_of(name, stream);
    const auto heavier = std::ranges::count_if(
        this->others,
        [&](const router& one)
        {
            return weight_of(one.name, stream) > own;
        });
    return static_cast<std::size_t>(heavier) < this->settings.holders;
}

void origin_tracker::began(
    stream_key stream, software_version software, instant now)
{
    if (!software || !this->records.add(stream, software, now))
        return;
    if (this->unsent.empty())
        this->unsent_since = now;
    for (std::string& holder : this->holders_of(stream))
        this->unsent[std::move(holder)].push_back(stream);
}

origin_message
origin_tracker::make_message(origin_message_kind kind, instant now) const
{
    origin_message message;
    message.router = this->settings.router;
    message.kind = kind;
    if (kind == origin_message_kind::answer)
        this->history.write_to(message, now);
    return message;
}

void origin_tracker::flush_records(instant now)
{
    for (const auto& [address, streams] : this->unsent)
    {
        origin_message message =
            this->make_message(origin_message_kind::records, now);
        for (const stream_key stream : streams)
        {
            if (const auto record = this->records.record_of(stream, now))
                message.records.push_back(*record);
        }
        this->messages.push_back({{address}, std::move(message)});
    }
    this->unsent.clear();
    this->unsent_since = instant::max();
}

void origin_tracker::ask(
    const question& asked, std::optional<duration> registry_age, instant now)
{
    if (asked.stream)
    {
        if (const auto known = this->records.find(asked.stream))
        {
            this->finish(
                asked,
                {*known,
                 *known ? origin_source::own_record : origin_source::unknown,
                 {}});
            return;
        }
    }
    pending_query query;
    query.asked = asked;
    // A caller that names no attempt gives nothing to ask for but the versions.
    if (!asked.stream)
    {
        const bool is_certain =
            asked.services.size() != 1 ||
            this->history.had_several(
                asked.services.front(), this->stream_lifetime, now);
        if (is_certain)
        {
            this->finish(asked, {});
            return;
        }
    }
    const std::uint64_t number = ++this->last_number;
    query.missing =
        this->holders_of(asked.stream ? asked.stream : stream_key(number));
    query.recipients = query.missing.size();
    query.repeat_at = now + this->settings.repeat_delay;
    query.ends_at =
        now + (this->is_learning(now) ? this->settings.start_query_timeout
                                      : this->settings.query_timeout);
    if (query.missing.empty())
    {
        // There is no other router that could have begun the stream.
        this->finish_without_record(query, registry_age, now);
        return;
    }
    this->send_query(number, query);
    this->queries.emplace(number, std::move(query));
}

void origin_tracker::ask_more_routers(pending_query& query)
{
    for (std::string& address : this->random_routers(this->settings.holders))
    {
        if (std::ranges::find(query.missing, address) != query.missing.end())
            continue;
        query.missing.push_back(std::move(address));
        ++query.recipients;
    }
}

void origin_tracker::send_query(
    std::uint64_t number, const pending_query& query)
{
    if (query.missing.empty())
        return;
    origin_message message;
    message.router = this->settings.router;
    message.kind = origin_message_kind::query;
    message.number = number;
    message.stream = query.asked.stream.value;
    this->messages.push_back({query.missing, std::move(message)});
}

void origin_tracker::message_received(
    const origin_message& message,
    std::string_view from,
    std::optional<duration> registry_age,
    instant now)
{
    this->last_registry_age = registry_age;
    switch (message.kind)
    {
    case origin_message_kind::records:
        this->apply_records(message, now);
        break;
    case origin_message_kind::query:
        this->send_answer(message, from, now);
        break;
    case origin_message_kind::answer:
        this->handle_answer(message, from, registry_age, now);
        break;
    case origin_message_kind::start:
        this->send_records_to(message, from, now);
        break;
    }
}

void origin_tracker::apply_records(const origin_message& message, instant now)
{
    for (const origin_record& one : message.records)
        this->records.add(
            stream_key(one.stream),
            software_version(one.software),
            now - duration(std::max<std::int64_t>(one.age_us, 0)));
}

void origin_tracker::send_answer(
    const origin_message& asked, std::string_view from, instant now)
{
    origin_message message =
        this->make_message(origin_message_kind::answer, now);
    message.number = asked.number;
    message.stream = asked.stream;
    if (this->last_registry_age)
        message.registry_age_us = this->last_registry_age->count();
    if (const auto record =
            this->records.record_of(stream_key(asked.stream), now))
        message.records.push_back(*record);
    this->messages.push_back({{std::string(from)}, std::move(message)});
}

void origin_tracker::send_records_to(
    const origin_message& start, std::string_view to, instant now)
{
    origin_message message =
        this->make_message(origin_message_kind::answer, now);
    if (this->last_registry_age)
        message.registry_age_us = this->last_registry_age->count();
    for (const stream_key stream : this->records.streams())
    {
        if (message.records.size() == max_records_for_start)
            break;
        if (!this->holds(start.router, stream))
            continue;
        if (const auto record = this->records.record_of(stream, now))
            message.records.push_back(*record);
    }
    this->messages.push_back({{std::string(to)}, std::move(message)});
}

void origin_tracker::handle_answer(
    const origin_message& message,
    std::string_view from,
    std::optional<duration> registry_age,
    instant now)
{
    this->apply_records(message, now);
    this->history.add_sightings(message, now);
    const bool continues_here =
        message.registry_age_us != origin_message::never &&
        now - duration(message.registry_age_us) >=
            this->history.since() - max_history_gap;
    if (continues_here)
        this->history.extend(message, now);
    const auto found = this->queries.find(message.number);
    if (found == this->queries.end())
        return;
    pending_query& query = found->second;
    if (std::erase(query.missing, from) == 0)
        return;
    const stream_key stream = query.asked.stream;
    const software_version software = software_in(message, stream);
    const auto known = this->records.find(stream);
    if (stream && known)
    {
        this->finish(
            query.asked,
            {*known,
             *known ? origin_source::router : origin_source::unknown,
             software ? message.router : std::string()});
        this->queries.erase(found);
        return;
    }
    query.received.push_back(message);
    if (!query.missing.empty() || this->is_learning(now))
        return;
    this->finish_without_record(query, registry_age, now);
    this->queries.erase(found);
}

std::optional<software_version> origin_tracker::conclude(
    const pending_query& query,
    std::optional<duration> registry_age,
    instant now) const
{
    if (query.asked.services.size() != 1)
        return std::nullopt;
    // A router that nobody answers may be the one that is out of step: others
    // may know of servers that registered since it last read the registry.
    const bool is_in_touch = this->others.empty() || !query.received.empty();
    if (!is_in_touch)
        return std::nullopt;
    const duration max_age = this->settings.max_registry_age;
    bool is_recent = registry_age && *registry_age <= max_age;
    software_history seen = this->history;
    for (const origin_message& one : query.received)
    {
        seen.add_sightings(one, now);
        seen.extend(one, now);
        is_recent =
            is_recent || (one.registry_age_us != origin_message::never &&
                          duration(one.registry_age_us) <= max_age);
    }
    // While the store answers nobody, no server can register. Then it is enough
    // that most of the routers that were asked have seen the same.
    const bool most_answered =
        this->others.empty() || (query.recipients != 0 &&
                                 query.received.size() * 2 >= query.recipients);
    if (!is_recent && !most_answered)
        return std::nullopt;
    return seen.only_software(
        query.asked.services.front(), this->stream_lifetime, now);
}

void origin_tracker::finish(const question& asked, stream_origin origin)
{
    this->answers.push_back({asked.id, std::move(origin)});
}

void origin_tracker::finish_without_record(
    const pending_query& query,
    std::optional<duration> registry_age,
    instant now)
{
    const auto only = this->conclude(query, registry_age, now);
    this->finish(
        query.asked,
        only ? stream_origin{*only, origin_source::only_version, {}}
             : stream_origin());
}

bool origin_tracker::has_seen_enough(instant now) const
{
    return this->history.since() <= now - this->stream_lifetime;
}

bool origin_tracker::is_learning(instant now) const
{
    return !this->has_seen_enough(now) &&
           this->next_start_query != instant::max();
}

std::vector<std::string> origin_tracker::random_routers(std::size_t count)
{
    std::vector<std::string> addresses;
    for (const router& one : this->others)
        addresses.push_back(one.address);
    std::ranges::shuffle(addresses, this->random);
    addresses.resize(std::min(addresses.size(), count));
    return addresses;
}

void origin_tracker::send_start_queries(instant now)
{
    const bool wants_records = this->start_rounds < this->settings.start_rounds;
    const bool is_done = this->start_rounds >= this->settings.history_rounds ||
                         (!wants_records && this->has_seen_enough(now));
    this->next_start_query =
        is_done ? instant::max() : now + this->settings.start_interval;
    if (is_done)
        return;
    ++this->start_rounds;
    const auto kind =
        wants_records ? origin_message_kind::start : origin_message_kind::query;
    std::vector<std::string> addresses =
        this->random_routers(this->settings.start_queries);
    if (!addresses.empty())
        this->messages.push_back(
            {std::move(addresses), this->make_message(kind, now)});
}

void origin_tracker::add_past(
    std::span<const listed_software> servers, instant since, instant now)
{
    this->history.add_seen(servers, since, now);
    if (!this->has_seen_enough(now))
        return;
    // The others have just started, too, and wait for it.
    origin_message message =
        this->make_message(origin_message_kind::answer, now);
    if (this->last_registry_age)
        message.registry_age_us = this->last_registry_age->count();
    this->messages.push_back(
        {this->random_routers(this->others.size()), std::move(message)});
}

void origin_tracker::tick(std::optional<duration> registry_age, instant now)
{
    this->last_registry_age = registry_age;
    if (now >= this->next_start_query)
        this->send_start_queries(now);
    if (now >= this->log_read_at)
    {
        this->log_read_at = instant::max();
        this->is_log_wanted = !this->has_seen_enough(now);
    }
    if (!this->unsent.empty() &&
        now >= this->unsent_since + this->settings.batch_delay)
        this->flush_records(now);
    for (auto place = this->queries.begin(); place != this->queries.end();)
    {
        auto& [number, query] = *place;
        const bool is_answered =
            query.missing.empty() && !this->is_learning(now);
        if (now >= query.ends_at || is_answered)
        {
            this->finish_without_record(query, registry_age, now);
            place = this->queries.erase(place);
            continue;
        }
        if (now >= query.repeat_at)
        {
            if (query.received.empty())
                this->ask_more_routers(query);
            this->send_query(number, query);
            query.repeat_at = now + this->settings.repeat_delay;
        }
        ++place;
    }
    if (now < this->next_cleaning)
        return;
    this->next_cleaning = now + cleaning_interval;
    this->records.drop_before(now - this->stream_lifetime);
    this->history.drop_before(now - 2 * this->stream_lifetime);
}

instant origin_tracker::next_tick() const
{
    instant next = std::min(
        {this->next_cleaning, this->next_start_query, this->log_read_at});
    if (!this->unsent.empty())
        next = std::min(next, this->unsent_since + this->settings.batch_delay);
    for (const auto& [number, query] : this->queries)
        next = std::min({next, query.repeat_at, query.ends_at});
    return next;
}

} // namespace roseworks
