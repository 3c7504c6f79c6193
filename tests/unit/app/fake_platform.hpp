#pragma once

#include "app/control_loop.hpp"

#include <roseworks/codec.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace roseworks::testing
{

/// Time that a test moves.
class fake_clock : public clock_port
{
public:
    instant now() const override
    {
        return this->time;
    }

    stamp_ms wall() const override
    {
        return 1'000'000 +
               this->time.time_since_epoch() / std::chrono::milliseconds(1);
    }

    instant time{std::chrono::seconds(1)};
};

/// A log in memory. What was read or answered is handed out by `deliver`.
class fake_log : public log_port
{
public:
    void start(log_listener& to) override
    {
        this->listener = &to;
    }

    void tail_from(log_offset from) override
    {
        this->next_read = from.value;
    }

    void expedite_reads() override
    {
        ++this->hurried;
    }

    void append(append_batch batch) override
    {
        this->appends.push_back(std::move(batch));
    }

    void stop() override
    {
        this->listener = nullptr;
    }

    void put(std::vector<std::byte> bytes)
    {
        this->entries.push_back({log_offset(this->next()), std::move(bytes)});
    }

    void trim(std::uint64_t to)
    {
        this->first = to;
    }

    std::uint64_t next() const
    {
        return this->entries.size() + 1;
    }

    void open()
    {
        this->listener->log_opened(
            log_offset(this->first), log_offset(this->next()), this->first > 1);
    }

    /// Carries out the appends that wait and delivers what can be read.
    void deliver()
    {
        while (!this->appends.empty())
        {
            const append_batch batch = std::move(this->appends.front());
            this->appends.pop_front();
            for (const auto& bytes : batch.entries)
                this->put(bytes);
            this->listener->append_answered(batch.batch, append_outcome::done);
        }
        this->read();
    }

    void read()
    {
        if (this->next_read < this->first)
        {
            this->listener->log_opened(
                log_offset(this->first), log_offset(this->next()), true);
            return;
        }
        std::vector<log_entry> unread(
            this->entries.begin() +
                static_cast<std::ptrdiff_t>(this->next_read - 1),
            this->entries.end());
        this->next_read = this->next();
        this->listener->entries_read(
            std::move(unread), log_offset(this->next()));
    }

    log_listener* listener = nullptr;
    std::vector<log_entry> entries;
    std::deque<append_batch> appends;
    std::uint64_t first = 1;
    std::uint64_t next_read = 1;
    int hurried = 0;
};

/// Keeps orders and reads; the test answers them.
class fake_engines : public engine_port
{
public:
    struct sent
    {
        engine_order order;
        std::string name;
        may_send allowed;
        order_done done;
    };

    void send_order(
        const engine_order& order,
        std::string_view name,
        may_send allowed,
        order_done done) override
    {
        this->orders.push_back(
            {order, std::string(name), std::move(allowed), std::move(done)});
    }

    void read_state(const read_engine& what, read_done done) override
    {
        this->reads.push_back({what, std::move(done)});
    }

    void cancel_all() override
    {
        ++this->cancelled;
    }

    /// Answers all reads that wait: reachable and empty.
    void answer_reads(std::uint64_t incarnation = 1)
    {
        auto waiting = std::exchange(this->reads, {});
        for (auto& [what, done] : waiting)
        {
            engine_report report;
            report.engine = what.engine;
            report.reachable = true;
            report.incarnation = incarnation;
            done(report);
        }
    }

    std::vector<sent> orders;
    std::vector<std::pair<read_engine, read_done>> reads;
    int cancelled = 0;
};

class fake_peers : public peer_port
{
public:
    std::string address() const override
    {
        return "127.0.0.1:1";
    }

    void start(peer_listener& to) override
    {
        this->listener = &to;
    }

    void
    sessions_changed(session_id self, std::span<const peer_session>) override
    {
        if (self)
            this->listener->peers_alive(std::span(&self, 1));
    }

    void
    send_demand(session_id, std::string_view, const servable_demand&) override
    {
    }

    void send_visit(session_id, std::string_view, const caller_visit&) override
    {
    }

    void stop() override {}

    peer_listener* listener = nullptr;
};

class counting_events : public event_sink
{
public:
    void emit(const event_record& record) noexcept override
    {
        ++this->seen[record.id];
    }

    std::map<event_id, int> seen;
};

} // namespace roseworks::testing
