// A small deployment with one model replica, whose orders are judged.
#pragma once

#include "review/standins/group_store.hpp"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace review
{

/// One model replica. It doesn't check fences (`require_fencing` false).
class engine
{
public:
    engine(std::string chosen_id, record& chosen_log);

    std::string entry() const; ///< in the store
    int orders();
    int lower_tokens();
    int turns();
    /// @return Requests that arrived and answers to them.
    int messages() const
    {
        return this->message_count;
    }

    /// The next order of this holder arrives later by the delay.
    void hold_next(
        const std::string& holder,
        std::chrono::milliseconds delay,
        std::function<void()> on_way);

private:
    using steady = std::chrono::steady_clock;

    struct arrived_order
    {
        std::string holder;
        std::uint64_t token = 0;
        steady::time_point at;
    };

    bool answer(connection& caller, const message& request);
    std::string answer_order(const message& request);
    std::string report();
    void pass_link(const std::string& holder);
    void judge(const arrived_order& order);

    std::string id;
    record& log;
    std::mutex mutex;
    std::set<std::string> adapters;
    std::uint64_t orders_taken = 0;
    std::vector<arrived_order> arrived;
    std::uint64_t highest_token = 0;
    std::atomic<int> message_count{0};
    int lower_count = 0;
    int turn_count = 0;
    std::string held_holder;
    std::chrono::milliseconds held_delay{};
    std::function<void()> on_held;
    server listener;
};

class engine_deployment
{
public:
    engine_deployment(int count, char** arguments, int gateway_count);

    bool start();

    /// Asks for adapters that nobody asked for before, until told to stop.
    void ask_for_adapters(const std::atomic<bool>& stopped);

    /// @return The gateway that holds the partition; null: none in 15 s.
    gateway* wait_for_owner();

    /// Waits for the next order of a holder. It arrives later by the delay.
    /// @return Whether one is on its way.
    bool wait_for_order_on_its_way(
        const std::string& holder, std::chrono::milliseconds delay);

    bool wait_for_end(gateway& one) const;

    int orders();
    int lower_tokens();
    int turns();
    int messages() const;

    record log;

private:
    std::string program;
    std::string folder;
    std::mutex mutex;
    std::condition_variable changed;
    bool is_on_its_way = false;
    int asked = 0;
    group_store store;
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<std::unique_ptr<gateway>> gateways;
};

} // namespace review
