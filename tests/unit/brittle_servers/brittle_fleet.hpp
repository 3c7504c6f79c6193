#pragma once

#include "modelled_server.hpp"
#include "router_fleet.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace roseworks::testing
{

/// A fleet whose engines have little room and can become brittle.
class brittle_fleet final : public router_fleet
{
public:
    struct options : router_fleet::options
    {
        modelled_server::options server;
        std::size_t max_rejections = 4; ///< a second, while brittle
        /// Shortest time of a run; the longest is twice that.
        duration shortest_run = 30ms;
    };

    explicit brittle_fleet(const options& settings);

    /// Makes all servers brittle, or sound again.
    void set_brittle(bool is_brittle);

    /// @return Requests that the servers can run at once.
    double slots() const;

    /// @return Requests a second that the servers can run.
    double capacity() const;

    /// @return How often servers fell over since `from`.
    std::size_t falls(instant from) const;

    /// @return How often the servers may fall over in one brittle time.
    std::size_t allowed_falls() const;

    /// @return The most rejections of one server within a second.
    std::size_t worst_second(instant from) const;

    /// @return The share of the servers' slots that was used so far, in
    ///         seconds of all slots.
    duration busy() const;

    instant time() const
    {
        return this->now();
    }

private:
    void run_request(std::size_t number, const grant& granted) override;
    void handle_result(
        std::size_t number,
        const grant& granted,
        instant sent,
        modelled_server::result result);
    duration one_way();

    options settings;
    std::vector<std::unique_ptr<modelled_server>> servers;
};

} // namespace roseworks::testing
