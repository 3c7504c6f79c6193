#include "tests/soak/traffic.hpp"

#include "tests/soak/soak_fleet.hpp"
#include "tests/support/calls.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <utility>

namespace roseworks::test
{

namespace
{

namespace json = boost::json;

constexpr std::size_t callers = 48;
constexpr int attempts = 3;
constexpr unsigned same_content_percent = 20;
constexpr std::uint64_t longest_answer = 24;
constexpr std::array<std::pair<const char*, const char*>, 3> classes{
    {{"field", "urgent"}, {"shelf", "normal"}, {"night", "batch"}}};
constexpr std::array<int, 4> deadlines_ms{1500, 3000, 5000, 8000};

template <typename Container>
const auto& any_of(std::mt19937_64& random, const Container& from)
{
    return from[random() % from.size()];
}

bool by_chance(std::mt19937_64& random, unsigned percent)
{
    return random() % 100 < percent;
}

void set_caller(std::mt19937_64& random, http_call& call)
{
    const auto& [name, priority] = any_of(random, classes);
    call.headers["X-Caller"] = name;
    call.headers["X-Priority"] = priority;
}

} // namespace

http_call
completion_call(const call_record& planned, const std::string& servable)
{
    json::object message{{"role", "user"}, {"content", planned.prompt}};
    const json::object body{
        {"model", servable},
        {"max_tokens", planned.tokens},
        {"stream", planned.kind == call_kind::stream},
        {"messages", json::array{std::move(message)}}};
    http_call call = completion(servable, planned.prompt);
    call.body = json::serialize(body);
    return call;
}

traffic::traffic(const soak_options& options, call_book& book)
    : options(options)
    , book(book)
{
    for (std::size_t i = 0; i < callers; ++i)
    {
        this->threads.emplace_back(
            [this, i](const std::stop_token& stopped)
            {
                caller self;
                self.number = i;
                self.random.seed(this->options.seed * callers + i);
                this->call_until(stopped, self);
            });
    }
}

void traffic::finish()
{
    for (std::jthread& thread : this->threads)
        thread.request_stop();
    this->threads.clear();
}

void traffic::call_until(const std::stop_token& stopped, caller& self)
{
    const double rate = static_cast<double>(this->options.calls_per_second) /
                        static_cast<double>(callers);
    std::exponential_distribution<double> gap(rate);
    while (true)
    {
        const std::chrono::duration<double> pause(gap(self.random));
        std::this_thread::sleep_for(pause);
        if (stopped.stop_requested())
            return;
        const auto choice = self.random() % 100;
        if (choice < 40)
            this->complete(self, false);
        else if (choice < 65)
            this->complete(self, true);
        else if (choice < 75)
            this->draft(self);
        else
            this->dispatch(self);
    }
}

void traffic::complete(caller& self, bool stream)
{
    const call_record planned =
        this->plan(self, stream ? call_kind::stream : call_kind::completion);
    http_call call =
        completion_call(planned, any_of(self.random, soak_servables()));
    set_caller(self.random, call);
    this->book.send(planned, std::move(call));
}

void traffic::draft(caller& self)
{
    call_record planned = this->plan(self, call_kind::completion);
    planned.key = "draft-" + planned.request_id;
    http_call call =
        completion_call(planned, any_of(self.random, soak_servables()));
    set_caller(self.random, call);
    this->send_under_key(self, planned, call);
}

void traffic::dispatch(caller& self)
{
    call_record planned = this->plan(self, call_kind::dispatch);
    planned.key = "dispatch-" + planned.request_id;
    // Some calls are alike but for their keys, as a read of a status is.
    const bool own_content = !by_chance(self.random, same_content_percent);
    http_call call = test::dispatch(
        planned.key,
        own_content ? json::serialize(json::object{{"order", planned.key}})
                    : "{}");
    set_caller(self.random, call);
    this->send_under_key(self, planned, call);
}

void traffic::send_under_key(
    caller& self, const call_record& planned, const http_call& call)
{
    const bool at_two_routers = by_chance(self.random, 40);
    for (int attempt = 0; attempt < attempts; ++attempt)
    {
        call_record first = planned;
        first.request_id += "-" + std::to_string(attempt) + "a";
        first.router = this->any_router(self);
        call_record second = planned;
        second.request_id += "-" + std::to_string(attempt) + "b";
        second.router = this->any_router(self);
        std::jthread other;
        if (at_two_routers)
        {
            other = std::jthread(
                [&]
                {
                    second = this->book.send(second, call);
                });
        }
        first = this->book.send(first, call);
        if (other.joinable())
            other.join();
        if (first.reply.status == 200 || second.reply.status == 200)
            return;
    }
}

call_record traffic::plan(caller& self, call_kind kind) const
{
    call_record planned;
    planned.kind = kind;
    planned.request_id =
        "c" + std::to_string(self.number) + "-" + std::to_string(++self.sent);
    planned.deadline =
        std::chrono::milliseconds(any_of(self.random, deadlines_ms));
    planned.router = this->any_router(self);
    if (kind != call_kind::dispatch)
    {
        planned.prompt = "ask " + planned.request_id;
        planned.tokens = 1 + self.random() % longest_answer;
    }
    return planned;
}

std::size_t traffic::any_router(caller& self) const
{
    return self.random() % this->options.routers;
}

} // namespace roseworks::test
