#pragma once

#include "core/routing/sharded_table.hpp"

#include <roseworks/dispatcher.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/// A dispatcher with a virtual clock and a routing table that the test edits.
/// Records all commands of the dispatcher.
class harness
{
public:
    explicit harness(dispatcher::options settings = {})
        : core(std::move(settings))
    {
    }

    /// Adds or replaces a model with ready replicas on engines `first`,
    /// `first + 1` and so on. Each engine runs on the VM of the same number and
    /// has the address 10.0.0.<engine>:80. Its data centre is "odd" or "even",
    /// after its number.
    void model(
        const std::string& name,
        std::uint32_t id,
        std::uint32_t replicas,
        std::uint16_t streams = 1,
        std::uint32_t first = 1,
        std::uint16_t max_replicas = 4,
        bool granted = false)
    {
        servable_routes entry;
        entry.id = servable_id(id);
        entry.name = name;
        entry.max_streams = streams;
        entry.load_estimate_ms = 10'000;
        entry.max_replicas = max_replicas;
        entry.granted = granted;
        for (std::uint32_t i = 0; i < replicas; ++i)
        {
            const std::uint32_t engine = first + i;
            const std::string number = std::to_string(engine);
            entry.ready.push_back(
                {replica_id(id * 1000 + engine),
                 engine_id(engine),
                 "10.0.0." + number + ":80",
                 engine % 2 == 1 ? "odd" : "even",
                 "vm" + number});
        }
        this->table.put(std::move(entry));
        this->publish();
    }

    void publish()
    {
        this->core.table_changed(this->table.publish(), this->now);
        this->collect();
    }

    request_info info(priority asked = priority::normal) const
    {
        request_info request;
        request.target = "m";
        request.asked = asked;
        request.deadline = this->now + 1h;
        return request;
    }

    ticket submit(request_info request)
    {
        const ticket id = this->core.submit(std::move(request), this->now);
        this->collect();
        return id;
    }

    ticket submit(priority asked = priority::normal)
    {
        return this->submit(this->info(asked));
    }

    dispatcher::finish finish(
        ticket id,
        attempt_result::end how = attempt_result::end::answered,
        duration total = 100ms,
        bool started = false)
    {
        attempt_result result;
        result.how = how;
        result.total = total;
        result.first_byte = total / 2;
        result.answer_started = started;
        const auto outcome = this->core.finished(id, result, this->now);
        this->collect();
        return outcome;
    }

    /// Ends an attempt whose stream broke after the caller had received a part.
    dispatcher::finish cut(ticket id, bool resumable, std::uint32_t tokens = 1)
    {
        attempt_result result;
        result.how = attempt_result::end::broken;
        result.answer_started = true;
        result.resumable = resumable;
        result.tokens = tokens;
        const auto outcome = this->core.finished(id, result, this->now);
        this->collect();
        return outcome;
    }

    /// Reports the result of examining the server of the last `crash_seen`.
    void examined(crash_finding finding)
    {
        const crash_seen last = this->crashes.back();
        this->core.crash_examined(last, finding, this->now);
        this->collect();
    }

    /// Sets the rate limit of an engine; 0: no limit.
    void limit(std::uint32_t engine, double per_second)
    {
        this->core.server_limited(
            {engine_id(engine), {}}, per_second, this->now);
        this->collect();
    }

    void allow(std::uint32_t engine, duration wait = 0ms)
    {
        this->core.permit_given(
            {engine_id(engine), {}}, this->now + wait, this->now);
        this->collect();
    }

    void deny(std::uint32_t engine, duration retry_after)
    {
        this->core.permit_refused(
            {engine_id(engine), {}}, retry_after, this->now);
        this->collect();
    }

    void tick(duration passed = 0ms)
    {
        this->now += passed;
        this->core.tick(this->now);
        this->collect();
    }

    void collect()
    {
        for (dispatch_command& command : this->core.take_commands())
        {
            if (auto* given = std::get_if<grant>(&command))
            {
                this->order.push_back(given->request);
                this->grants[given->request].push_back(std::move(*given));
            }
            else if (auto* refused = std::get_if<refusal>(&command))
            {
                this->refusals[refused->request].push_back(*refused);
            }
            else if (auto* wanted = std::get_if<demand>(&command))
            {
                this->demands.push_back(*wanted);
            }
            else if (auto* permit = std::get_if<permit_wanted>(&command))
            {
                this->permits.push_back(*permit);
            }
            else
            {
                this->crashes.push_back(std::get<crash_seen>(command));
            }
        }
    }

    bool granted(ticket id) const
    {
        return this->grants.contains(id);
    }

    /// @return The engine of the request's last grant; 0 if there is none.
    std::uint32_t engine(ticket id) const
    {
        const auto found = this->grants.find(id);
        return found == this->grants.end() ? 0
                                           : found->second.back().engine.value;
    }

    refusal_reason refused(ticket id) const
    {
        const auto found = this->refusals.find(id);
        return found == this->refusals.end() ? refusal_reason::none
                                             : found->second.front().reason;
    }

    /// Allows the default caller to send urgent requests.
    void allow_urgent()
    {
        caller_spec spec;
        spec.highest = priority::urgent;
        this->table.put_caller("anonymous", spec);
        this->publish();
    }

    /// Adds a model with a single slot and starts a request that occupies it.
    ticket occupy()
    {
        this->model("m", 1, 1);
        this->allow_urgent();
        const ticket running = this->submit();
        cr_assert(this->granted(running));
        return running;
    }

    dispatcher core;
    detail::sharded_table table;
    instant now{1h};
    std::vector<ticket> order; ///< of grants
    std::map<ticket, std::vector<grant>> grants;
    std::map<ticket, std::vector<refusal>> refusals;
    std::vector<demand> demands;
    std::vector<crash_seen> crashes;
    std::vector<permit_wanted> permits;
};

} // namespace roseworks::testing
