#include "tools/load/load_run.hpp"

#include "tools/load/completion_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdio>
#include <utility>

namespace roseworks::tools
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::seconds progress_interval(1);
/// Time in which the engines are first looked at before anything is sent.
constexpr std::chrono::milliseconds head_start(300);

} // namespace

load_run::load_run(
    const load_options& wanted,
    const load_target& where,
    std::span<const planned_call> plan,
    std::string progress_label)
    : options(wanted)
    , target(where)
    , calls(plan)
    , label(std::move(progress_label))
    , received(plan.size())
{
}

void load_run::run()
{
    this->start = clock::now() + head_start;
    engine_watch watcher(this->target.engines, this->start);
    this->watch = &watcher;
    asio::co_spawn(this->context, this->send_all(), asio::detached);
    asio::co_spawn(this->context, this->show_progress(), asio::detached);
    this->context.run();
    this->seen = watcher.samples();
    this->watch = nullptr;
}

asio::awaitable<void> load_run::send_all()
{
    asio::steady_timer timer(this->context);
    for (std::size_t i = 0; i < this->calls.size(); ++i)
    {
        // Calls of one time go out together, with no answer taken in between:
        // what the bound lets out depends on the plan, not on the machine.
        const bool with_last =
            i > 0 && this->calls[i].at == this->calls[i - 1].at;
        if (!with_last)
        {
            timer.expires_at(this->start + this->calls[i].at);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (this->in_flight >= this->options.max_in_flight)
        {
            this->received[i].outcome = call_outcome::not_sent;
            ++this->done;
            continue;
        }
        ++this->sent;
        ++this->in_flight;
        asio::co_spawn(this->context, this->send_one(i), asio::detached);
    }
}

asio::awaitable<void> load_run::send_one(std::size_t index)
{
    const planned_call& call = this->calls[index];
    const bool cold =
        !this->target.engines.empty() && !this->watch->is_ready(call.model);
    const endpoint server =
        this->target.routers[call.router % this->target.routers.size()];
    call_result result = co_await send_completion(
        server, call, this->start + call.at, this->options.stream);
    result.was_cold = cold;
    this->received[index] = std::move(result);
    --this->in_flight;
    ++this->done;
    this->answered +=
        this->received[index].outcome == call_outcome::answered ? 1 : 0;
}

asio::awaitable<void> load_run::show_progress()
{
    asio::steady_timer timer(this->context);
    for (auto due = this->start; this->done < this->calls.size();
         due += progress_interval)
    {
        timer.expires_at(due);
        co_await timer.async_wait(asio::use_awaitable);
        const auto seconds =
            std::chrono::duration_cast<std::chrono::seconds>(due - this->start);
        std::fprintf(
            stderr,
            "%s%llds planned=%zu sent=%zu in_flight=%zu answered=%zu "
            "other=%zu\n",
            this->label.c_str(),
            static_cast<long long>(seconds.count()),
            this->calls.size(),
            this->sent,
            this->in_flight,
            this->answered,
            this->done - this->answered);
    }
}

const std::vector<call_result>& load_run::results() const
{
    return this->received;
}

const std::vector<fleet_sample>& load_run::samples() const
{
    return this->seen;
}

} // namespace roseworks::tools
