#pragma once

#include "ports/gateway_peer_port.hpp"

namespace roseworks::testing
{

/// Peer port of a router without peers: drops all messages.
class null_peers : public gateway_peer_port
{
public:
    void start(gateway_peer_listener&) override {}
    void send(std::span<const std::string>, const router_report&) override {}
    void send(std::span<const std::string>, const owner_announcement&) override
    {
    }
    void send(std::span<const std::string>, const crash_report&) override {}
    void send(std::span<const std::string>, const part_crash_report&) override
    {
    }
    void send(std::span<const std::string>, const directory_update&) override {}
    void send(std::span<const std::string>, const origin_message&) override {}
    void send(std::span<const std::string>, const server_limit_update&) override
    {
    }
    void send(std::string_view, const quota_query&) override {}
    void send(std::string_view, const quota_reply&) override {}
    void stop() override {}
};

} // namespace roseworks::testing
