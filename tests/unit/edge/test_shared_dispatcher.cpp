#include "adapters/edge/shared_dispatcher.hpp"
#include "edge_fixture.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <mutex>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::edge;
using namespace roseworks::edge::tests;

namespace
{

/// A routing table with one ready model that can serve one stream at a time.
class single_model_table : public routing_table
{
public:
    single_model_table()
    {
        this->model.id = servable_id(1);
        this->model.name = "m";
        this->model.max_streams = 1;
        this->model.max_replicas = 1;
        this->model.ready.push_back(
            {replica_id(1), engine_id(1), "127.0.0.1:1", "dc", "vm"});
    }

    const servable_routes* find_servable(std::string_view name) const override
    {
        return name == "m" ? &this->model : nullptr;
    }
    const servable_routes* find_servable(servable_id id) const override
    {
        return id == this->model.id ? &this->model : nullptr;
    }
    const service_routes* find_service(std::string_view) const override
    {
        return nullptr;
    }
    const caller_spec* find_caller(std::string_view) const override
    {
        return nullptr;
    }
    bool is_blocked(fingerprint) const override
    {
        return false;
    }
    bool is_suspect(fingerprint) const override
    {
        return false;
    }
    bool log_available() const override
    {
        return true;
    }
    std::vector<std::string> servable_names() const override
    {
        return {"m"};
    }

private:
    servable_routes model;
};

/// A dispatcher whose timer runs on a separate thread.
struct running_dispatcher
{
    running_dispatcher()
        : guard(this->loop.get_executor())
        , shared(shared_dispatcher::make(
              dispatcher({}),
              this->loop.get_executor(),
              this->clock,
              {[](const demand&) {}, [](const crash_seen&) {}}))
        , thread(
              [this]
              {
                  this->loop.run();
              })
    {
        this->shared->table_changed(std::make_shared<single_model_table>());
    }

    ~running_dispatcher()
    {
        this->shared->stop();
        this->guard.reset();
        this->thread.join();
    }

    request_info request(std::string_view target, duration left)
    {
        request_info info;
        info.target = target;
        info.deadline = this->clock.now() + left;
        info.content = fingerprint(1);
        return info;
    }

    asio::io_context loop;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    steady_clock_port clock;
    std::shared_ptr<shared_dispatcher> shared;
    std::thread thread;
};

/// Records the replies to one request.
struct reply_recorder
{
    dispatch_port::reply_handler handler()
    {
        return [this](const dispatch_port::reply& reply)
        {
            const std::lock_guard lock(this->mutex);
            this->replies.push_back(reply);
        };
    }

    std::size_t size()
    {
        const std::lock_guard lock(this->mutex);
        return this->replies.size();
    }

    std::mutex mutex;
    std::vector<dispatch_port::reply> replies;
};

} // namespace

Test(shared_dispatcher, grants_in_turn_and_refuses_unknown_targets)
{
    running_dispatcher running;
    reply_recorder first;
    reply_recorder second;
    reply_recorder unknown;
    const auto left = std::chrono::minutes(1);
    const ticket one =
        running.shared->submit(running.request("m", left), first.handler());
    running.shared->submit(running.request("m", left), second.handler());
    running.shared->submit(running.request("x", left), unknown.handler());
    cr_assert(std::holds_alternative<grant>(first.replies.at(0)));
    cr_assert_eq(second.size(), 0);
    cr_assert(
        std::get<refusal>(unknown.replies.at(0)).reason ==
        refusal_reason::unknown_servable);
    running.shared->finished(one, {});
    cr_assert(std::holds_alternative<grant>(second.replies.at(0)));
    cr_assert_eq(running.shared->in_flight(), 1);
}

Test(shared_dispatcher, timer_refuses_requests_past_their_deadline)
{
    running_dispatcher running;
    reply_recorder first;
    reply_recorder waiting;
    running.shared->submit(
        running.request("m", std::chrono::minutes(1)), first.handler());
    running.shared->submit(
        running.request("m", std::chrono::milliseconds(100)),
        waiting.handler());
    cr_assert(eventually(
        [&]
        {
            return waiting.size() == 1;
        }));
    cr_assert(
        std::get<refusal>(waiting.replies.at(0)).reason ==
        refusal_reason::deadline);
}

Test(shared_dispatcher, concurrent_calls_each_get_one_final_reply)
{
    constexpr int callers = 4;
    constexpr int calls = 200;
    running_dispatcher running;
    std::atomic<int> finals{0};
    const auto call_all = [&]
    {
        for (int i = 0; i < calls; ++i)
        {
            reply_recorder log;
            const ticket request = running.shared->submit(
                running.request("m", std::chrono::minutes(1)), log.handler());
            cr_assert(eventually(
                [&]
                {
                    return log.size() == 1;
                }));
            if (std::holds_alternative<grant>(log.replies.at(0)))
                running.shared->finished(request, {});
            ++finals;
        }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i)
        threads.emplace_back(call_all);
    for (std::thread& thread : threads)
        thread.join();
    cr_assert_eq(finals, callers * calls);
    cr_assert_eq(running.shared->in_flight(), 0);
    cr_assert_eq(running.shared->queued(), 0);
}
