#include "app/gateway/gateway_options.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <random>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

/// Cores and link (Mbit/s) of a VM of capacity 1. A placement owner needs some
/// Mbit/s for its announcements and the answers of the store, and some
/// hundredths of a core for planning.
constexpr double reference_cores = 0.25;
constexpr double reference_link_mbps = 100;

/// Share of the owner's link for announcements to routers that don't wait for
/// them. The rest is for callers' requests.
constexpr double announcement_link_share = 0.025;
constexpr double bytes_per_mbit = 125'000;

/// Maximum size of one update from the store that a router sends to all others,
/// as a share of what its link carries in a second.
constexpr double update_link_share = 0.2;

asio::ip::tcp::endpoint tcp_endpoint(const settings::socket_address& address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

placement_controller::options
placement_options(const settings::gateway_settings& settings)
{
    placement_controller::options made;
    made.lease = settings.bounds.lease;
    made.fences_checked = settings.bounds.fences_checked;
    made.estimates_pace = settings.pace.estimate;
    made.announcements.budget_bytes_per_second =
        settings.vm.link_mbps * bytes_per_mbit * announcement_link_share;
    made.planner.copies_by_room = settings.placement.copies_by_room;
    made.planner.store_limiter.window = settings.bounds.load_window;
    made.planner.store_limiter.rate_factor = settings.bounds.load_factor;
    return made;
}

users_platform::engine_commands::options
command_options(const settings::gateway_settings& settings)
{
    users_platform::engine_commands::options made;
    made.holder = settings.vm.name;
    return made;
}

duration limit_window(const settings::gateway_settings& settings)
{
    constexpr std::chrono::milliseconds min_window{100};
    return std::max(settings.bounds.limit_window, min_window);
}

quota_controller::options quota_options(
    const settings::gateway_settings& settings,
    std::function<void(std::uint8_t urgency, double used, double refused)>
        on_class_usage)
{
    quota_controller::options made;
    made.router = settings.vm.name;
    constexpr std::chrono::milliseconds min_window{100};
    made.bounds.window = limit_window(settings);
    made.bounds.excess = settings.bounds.limit_excess;
    made.bounds.slack = settings.bounds.limit_slack;
    made.retries.ratio = settings.bounds.retry_ratio;
    made.retries.extra = settings.bounds.retry_extra;
    made.retries.window = std::max(settings.bounds.retry_window, min_window);
    made.order_by_urgency = settings.quota.order_by_urgency;
    made.on_class_usage = std::move(on_class_usage);
    made.hedge_share = settings.hedging.extra_share;
    std::random_device device;
    made.seed = std::uint64_t(device()) << 32;
    return made;
}

server_limit_controller::options
server_limit_options(const settings::gateway_settings& settings)
{
    server_limit_controller::options made;
    made.router = settings.vm.name;
    made.count_saturated = settings.room.count_saturated;
    made.saturation.queue_share = settings.room.queue_share;
    return made;
}

crash_controller::options
crash_options(const settings::gateway_settings& settings)
{
    crash_controller::options made;
    made.router = settings.vm.name;
    made.seed = std::random_device()();
    return made;
}

users_platform::store_crash_archive::options
archive_options(const settings::gateway_settings& settings, stamp_ms wall)
{
    users_platform::store_crash_archive::options made;
    made.server = tcp_endpoint(settings.store.address);
    made.router = settings.vm.name;
    made.run = static_cast<std::uint64_t>(std::max<stamp_ms>(wall, 1));
    made.seed = std::random_device()();
    return made;
}

origin_controller::options
origin_options(const settings::gateway_settings& settings)
{
    origin_controller::options made;
    made.tracking.router = settings.vm.name;
    made.tracking.first_start = settings.vm.first_start;
    made.heartbeat = settings.bounds.heartbeat;
    made.tracking.seed = std::random_device()();
    return made;
}

relay::router_opinions::options opinion_options()
{
    relay::router_opinions::options made;
    made.seed = std::random_device()();
    return made;
}

copy_exchange::options copy_options(const settings::gateway_settings& settings)
{
    // One copy is sent at a time for each 25 Mbit/s of the link, within bounds.
    constexpr double mbps_per_copy = 25;
    constexpr double min_copies = 1;
    constexpr double max_copies = 8;
    copy_exchange::options made;
    made.listen = tcp_endpoint(settings.listen.peers);
    made.max_concurrent_requests = static_cast<std::size_t>(std::clamp(
        settings.vm.link_mbps / mbps_per_copy, min_copies, max_copies));
    return made;
}

users_platform::store_directory::options
directory_options(const settings::gateway_settings& settings)
{
    users_platform::store_directory::options made;
    made.server = tcp_endpoint(settings.store.address);
    made.self = {
        settings.vm.name,
        settings.listen.peers.to_string(),
        std::min(
            settings.vm.cores / reference_cores,
            settings.vm.link_mbps / reference_link_mbps),
        settings.vm.data_centre};
    made.term = std::max(made.term, settings.store.shortest_term);
    // Ages are at most half of their bounds, which leaves time for one lost
    // read and a repeat.
    constexpr std::chrono::milliseconds min_age{100};
    made.registry_max_age = std::max(settings.bounds.leaving * 9 / 20, min_age);
    // The last write before an outage may be one interval old.
    made.min_expiring_outage = 2 * settings.bounds.heartbeat;
    made.config_max_age = std::max(settings.bounds.configuration / 2, min_age);
    made.config_max_unconfirmed =
        std::max(settings.bounds.configuration * 9 / 10, min_age);
    made.config_fetch.last_resort =
        std::max(settings.bounds.configuration * 11 / 20, min_age);
    made.max_update_bytes = static_cast<std::size_t>(
        settings.vm.link_mbps * bytes_per_mbit * update_link_share);
    made.lease = settings.bounds.lease;
    made.first_start = settings.vm.first_start;
    made.seed = std::random_device()();
    return made;
}

} // namespace roseworks::app
