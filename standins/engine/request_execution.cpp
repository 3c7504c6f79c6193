// The part of the engine service that runs completions.

#include "standins/common/json_fields.hpp"
#include "standins/engine/engine_service.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace roseworks::standins
{

namespace
{

constexpr int exit_crashed = 3;

/// How often a running request looks whether it is to stop.
constexpr std::chrono::milliseconds check_interval{20};

constexpr int normal_priority = 1;
constexpr std::array<std::pair<std::string_view, int>, 3> priority_names{{
    {"urgent", 0},
    {"normal", normal_priority},
    {"batch", 2},
}};

int parse_priority(std::string_view name)
{
    for (const auto& [text, value] : priority_names)
    {
        if (text == name)
        {
            return value;
        }
    }
    return normal_priority;
}

slot_queue::time_point read_deadline(const exchange& call)
{
    const auto left = parse_whole_number(call.header("X-Deadline-Ms"));
    if (!left)
    {
        return slot_queue::time_point::max();
    }
    constexpr std::uint64_t hour_ms = 3'600'000;
    return std::chrono::steady_clock::now() +
           std::chrono::milliseconds(std::min(*left, hour_ms));
}

} // namespace

/// A request that runs or waits, for as long as it lives.
class engine_service::active_request
{
public:
    active_request(std::string name, std::set<active_request*>& list)
        : id(std::move(name))
        , registry(list)
    {
        this->registry.insert(this);
    }

    ~active_request()
    {
        this->registry.erase(this);
    }

    active_request(const active_request&) = delete;
    active_request& operator=(const active_request&) = delete;

    std::string id;
    bool cancelled = false;

private:
    std::set<active_request*>& registry;
};

/// Keeps a replica from being removed while a request needs it.
class engine_service::replica_use
{
public:
    replica_use(engine_service& owner, replica& used)
        : engine(owner)
        , id(used.id)
    {
        ++used.requests;
    }

    ~replica_use()
    {
        --this->engine.replicas.find(this->id)->requests;
        this->engine.publish_state();
    }

    replica_use(const replica_use&) = delete;
    replica_use& operator=(const replica_use&) = delete;

private:
    engine_service& engine;
    std::uint64_t id;
};

asio::awaitable<void> engine_service::cancel(exchange& call)
{
    const std::string id = string_field(call.body_object(), "request_id");
    std::uint64_t count = 0;
    for (active_request* candidate : this->active_requests)
    {
        if (candidate->id == id)
        {
            candidate->cancelled = true;
            ++count;
        }
    }
    this->slots.recheck();
    json::object body;
    body["cancelled"] = count;
    co_await call.send_json(200, std::move(body));
}

asio::awaitable<void> engine_service::complete(exchange& call, bool chat)
{
    const completion_request request =
        parse_completion(call.body_object(), chat);
    active_request active(this->request_id(call), this->active_requests);
    call.set_header("X-Request-Id", active.id);
    replica* const resident = this->replicas.find_ready(request.model);
    if (resident == nullptr)
    {
        co_await send_error(call, 404, "not_loaded");
        co_return;
    }
    if (this->slots.waiting() >= this->options.max_waiting)
    {
        co_await send_error(call, 503, "not_run");
        co_return;
    }
    const std::string tag =
        completion_writer(request, active.id, true).tag(resident->version);
    const std::string wanted = call.header("If-Match");
    if (!wanted.empty() && wanted != tag)
    {
        co_await send_error(call, 412, "not_run");
        co_return;
    }
    if (this->options.resume && request.stream)
    {
        call.set_header("ETag", tag);
    }
    const replica_use used(*this, *resident);
    const auto stopped = [&active]
    {
        return active.cancelled;
    };
    const int priority = parse_priority(call.header("X-Priority"));
    const std::optional<slot> granted =
        co_await this->slots.acquire(priority, read_deadline(call), stopped);
    co_await this->faults.pass();
    if (!granted || active.cancelled || call.client_gone())
    {
        co_await send_error(call, 503, "not_run");
        co_return;
    }
    co_await this->execute(call, request, active);
}

asio::awaitable<void> engine_service::execute(
    exchange& call,
    const completion_request& request,
    const active_request& active)
{
    this->executions.begin(active.id);
    if (this->faults.is(fault::crash_on) &&
        request.prompt.find(this->crash_needle) != std::string::npos)
    {
        std::_Exit(exit_crashed);
    }
    const completion_writer writer(request, active.id, this->options.resume);
    const clock::time_point begin = clock::now() + this->prefill_time(request);
    bool whole = co_await this->work_until(call, active, begin);
    if (whole && request.stream)
    {
        whole = co_await this->stream(call, writer, request.max_tokens, active);
    }
    else if (whole)
    {
        const auto duration = this->options.token * request.max_tokens;
        whole = co_await this->work_until(call, active, begin + duration);
    }
    if (!whole)
    {
        this->executions.cancel(active.id);
        if (!call.answered())
        {
            co_await send_error(call, 500, "cancelled");
        }
        co_return;
    }
    this->executions.complete(active.id);
    if (!request.stream)
    {
        json::value body = writer.whole();
        co_await call.send_json(200, std::move(body));
    }
}

asio::awaitable<bool> engine_service::stream(
    exchange& call,
    const completion_writer& writer,
    std::uint64_t tokens,
    const active_request& active)
{
    co_await call.start_stream("text/event-stream");
    const clock::time_point begin = clock::now();
    const std::uint64_t first = this->first_token(call);
    for (std::uint64_t index = first; index < tokens; ++index)
    {
        const auto due = begin + this->options.token * (index - first + 1);
        const bool going = co_await this->work_until(call, active, due);
        if (!going)
        {
            co_await call.write(writer.cancelled_event());
            co_await call.finish_stream();
            co_return false;
        }
        co_await call.write(writer.token_event(index));
    }
    co_await call.write(completion_writer::done_event());
    co_await call.finish_stream();
    co_return true;
}

std::uint64_t engine_service::first_token(const exchange& call) const
{
    const auto last = parse_whole_number(call.header("Last-Event-Id"));
    return this->options.resume && last ? *last + 1 : 0;
}

asio::awaitable<bool> engine_service::work_until(
    exchange& call, const active_request& active, clock::time_point end)
{
    while (true)
    {
        co_await this->faults.pass();
        if (active.cancelled || call.client_gone())
        {
            co_return false;
        }
        const clock::duration left = end - clock::now();
        if (left <= clock::duration::zero())
        {
            co_return true;
        }
        const clock::duration wait =
            std::min<clock::duration>(left, check_interval);
        co_await sleep_for(std::chrono::ceil<std::chrono::microseconds>(wait));
    }
}

std::chrono::microseconds
engine_service::prefill_time(const completion_request& request)
{
    const bool cached = this->prefixes.touch(request.model, request.prompt);
    const std::size_t size = request.prompt.size();
    const std::size_t skipped = cached ? std::min(size, prefix_chars) : 0;
    return this->options.prefill_per_char * (size - skipped);
}

std::string engine_service::request_id(const exchange& call)
{
    std::string given = call.header("X-Request-Id");
    if (!given.empty())
    {
        return given;
    }
    return "engine-" + std::to_string(++this->named_requests);
}

} // namespace roseworks::standins
