#pragma once

#include "modelled_server.hpp"
#include "router_fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace roseworks::testing
{

/// A kind of request, and what became of its requests.
struct request_class
{
    double share = 1; ///< of the demand
    std::uint8_t rank = 0;
    duration objective = 400ms;
    duration time_limit = 5s;
    std::size_t sent = 0;
    std::size_t answered = 0;
};

/// Many routers before a few engines that get more requests than they can run.
class saturated_fleet final : public router_fleet
{
public:
    /// @param classes Kinds of request; their shares add up to 1.
    saturated_fleet(
        const options& settings, std::vector<request_class> classes);

    /// @return Requests a second that the engines can run.
    double capacity() const;

    /// @return The most requests that waited at one engine since `from`.
    std::size_t longest_queue(instant from) const;

    /// @return The share of the answers sent from `from` on whose first event
    ///         came within 400 ms of the sending.
    double prompt_share(instant from) const;

    /// @return Answers of the engines since `from`.
    std::size_t answers_since(instant from) const;

    /// Counts only the requests that are sent from now on.
    void restart_counts();

    const request_class& class_at(std::size_t index) const
    {
        return this->classes[index];
    }

    instant time() const
    {
        return this->now();
    }

private:
    struct answer
    {
        instant sent;
        instant ended;
        duration until_first_event;
    };

    struct queue_length
    {
        instant when;
        std::size_t waiting;
    };

    request_info make_request() override;
    void request_submitted(std::size_t number, ticket id) override;
    void run_request(std::size_t number, const grant& granted) override;
    void handle_result(
        std::size_t number,
        const grant& granted,
        instant sent,
        modelled_server::result result);
    duration one_way();

    options settings;
    std::vector<request_class> classes;
    std::vector<std::unique_ptr<modelled_server>> engines;
    /// Class of each request, by router and ticket.
    std::vector<std::unordered_map<std::uint64_t, std::size_t>> class_of;
    std::size_t next_class = 0;
    std::vector<answer> answers;
    std::vector<queue_length> queue_lengths;
};

} // namespace roseworks::testing
