#pragma once

#include "core/quota/quota_messages.hpp"

#include <roseworks/instant.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/** Counts the requests that all routers together have at one backend server, so
    that they don't exceed its room.

    A request holds a place from its grant until its end. At first there are as
    many places as the server runs requests at once. A rejection for want of
    room lowers the number at once; it grows again slowly, and only while
    requests wait. Each router reports what it holds with each of its messages,
    so a lost message or a restart is corrected by the next report.
*/
class place_counter
{
public:
    enum class outcome : std::uint8_t
    {
        granted,
        queued, ///< granted later, see `grant_waiting`
        refused
    };

    /// A place that was granted to a router that waited for it.
    struct late_grant
    {
        std::string router;
        std::uint64_t draw = 0;
    };

    /// @param slots Requests that the server runs at once.
    explicit place_counter(double slots);

    /// @param fraction Of all routers that report here; the other places are
    ///                 granted elsewhere.
    void set_share(double fraction)
    {
        this->share = fraction;
    }

    void report(std::string_view router, const place_usage& usage, instant now);

    /// A router requests a place. It has reported its usage before.
    /// @param order Of the request that the place is for.
    outcome draw(
        std::string_view router,
        std::uint64_t id,
        duration max_wait,
        instant now,
        const draw_order& order = {});

    /** Grants free places to the routers that wait.

        The lowest rank goes first, then the earliest objective that can still
        be met. Draws of the same order are granted as they came. One place in
        `oldest_first_interval` goes to the draw that has waited longest, if it
        has waited for half a second, so that no rank starves.
    */
    std::vector<late_grant> grant_waiting(instant now);

    /// Raises the number of places if requests wait, and drops grants that no
    /// router confirmed.
    void tick(instant now);

    /// Forgets the routers for which `is_active` is false.
    void keep_routers(const std::function<bool(std::string_view)>& is_active);

    /// @return The number of places that may be granted here.
    double places() const;

    double held() const
    {
        return this->total;
    }

private:
    struct router_usage
    {
        std::uint32_t held = 0;
        std::uint64_t granted = 0; ///< draw whose grant may be in transit
        instant granted_at;

        std::uint32_t sum() const
        {
            return this->held + (this->granted != 0 ? 1 : 0);
        }
    };

    struct waiting_draw
    {
        std::string router;
        std::uint64_t id = 0;
        instant expires_at;
        instant drawn_at;
        std::uint8_t rank = 0;
        instant objective = instant::max(); ///< `max`: none
    };

    static constexpr std::uint32_t oldest_first_interval = 16;

    /// A draw that waits has got another order.
    void reorder(std::uint64_t id, const draw_order& order, instant now);
    void drop_outdated(instant now);
    /// @return The draw that is granted next. There must be one.
    std::deque<waiting_draw>::iterator next_draw(instant now);

    void grant(std::string_view router, std::uint64_t id, instant now);
    void rejected(instant now);
    bool is_new_rejection(std::string_view router, const place_usage& usage);
    bool has_room() const
    {
        return this->total < this->places();
    }

    double slots;
    double limit;   ///< places of all routers
    double ceiling; ///< above it, a server has rejected requests
    double share = 1;
    double total = 0;      ///< sum over `routers`
    bool is_short = false; ///< a draw found no place since the last growth
    instant no_growth_until;
    instant ceiling_until;
    std::map<std::string, router_usage, std::less<>> routers;
    /// Number of rejections that each router has reported.
    std::map<std::string, std::uint32_t, std::less<>> rejections;
    std::deque<waiting_draw> waiting;
    std::uint32_t grants_since_oldest = 0;
    /// The draw that waits for each router. Others in `waiting` are outdated.
    std::map<std::string, std::uint64_t, std::less<>> waiting_by_router;
};

} // namespace roseworks
