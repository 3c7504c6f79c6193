#pragma once

#include "core/crashes/crash_report.hpp"
#include "core/dissemination/directory_update.hpp"
#include "core/origins/origin_message.hpp"
#include "core/pacing/server_limit_update.hpp"
#include "core/quota/quota_messages.hpp"
#include "core/swapping/peer_messages.hpp"

#include <span>
#include <string>
#include <string_view>

namespace roseworks
{

/// Receives messages from other routers, on the thread that runs the port. All
/// of them are hints.
class gateway_peer_listener
{
public:
    virtual ~gateway_peer_listener() = default;

    virtual void router_report_received(const router_report& report) = 0;

    /// @param from UDP ip:port of the owner.
    virtual void owner_announcement_received(
        const owner_announcement& announcement, std::string_view from) = 0;

    /// @param from UDP ip:port of the router.
    virtual void crash_report_received(
        const crash_report& report, std::string_view from) = 0;

    /// @param from UDP ip:port of the router.
    virtual void part_crash_report_received(
        const part_crash_report& report, std::string_view from) = 0;

    /// @param from UDP ip:port of the router.
    virtual void origin_message_received(
        const origin_message& message, std::string_view from) = 0;
    virtual void directory_update_received(const directory_update& update) = 0;

    /// @param from UDP ip:port of the router.
    virtual void
    quota_query_received(const quota_query& query, std::string_view from) = 0;
    virtual void quota_reply_received(const quota_reply& reply) = 0;
    virtual void
    server_limit_update_received(const server_limit_update& limits) = 0;
};

/// Port: datagrams between gateways. Delivery isn't guaranteed.
class gateway_peer_port
{
public:
    virtual ~gateway_peer_port() = default;

    virtual void start(gateway_peer_listener& listener) = 0;

    virtual void send(
        std::span<const std::string> addresses,
        const router_report& report) = 0;
    virtual void send(
        std::span<const std::string> addresses,
        const owner_announcement& announcement) = 0;
    virtual void send(
        std::span<const std::string> addresses, const crash_report& report) = 0;
    virtual void send(
        std::span<const std::string> addresses,
        const part_crash_report& report) = 0;
    virtual void send(
        std::span<const std::string> addresses,
        const origin_message& message) = 0;
    virtual void send(
        std::span<const std::string> addresses,
        const directory_update& update) = 0;

    virtual void send(
        std::span<const std::string> addresses,
        const server_limit_update& limits) = 0;
    virtual void send(std::string_view address, const quota_query& query) = 0;
    virtual void send(std::string_view address, const quota_reply& reply) = 0;

    /// Stops receiving. The listener isn't called after this.
    virtual void stop() = 0;
};

} // namespace roseworks
