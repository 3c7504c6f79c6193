#pragma once

#include "core/dissemination/directory_update.hpp"
#include "core/pacing/server_limit_update.hpp"
#include "core/quota/quota_messages.hpp"
#include "core/swapping/peer_messages.hpp"

#include <span>
#include <string>
#include <string_view>

namespace roseworks
{

/// Receives what other routers say, on the thread that runs the port. All of
/// it is a hint.
class gateway_peer_listener
{
public:
    virtual ~gateway_peer_listener() = default;

    virtual void router_word_heard(const router_report& word) = 0;

    /// @param from UDP ip:port of the owner.
    virtual void
    owner_word_heard(const owner_announcement& word, std::string_view from) = 0;

    virtual void break_word_heard(const connection_loss_report& word) = 0;
    virtual void directory_word_heard(const directory_update& word) = 0;

    /// @param from UDP ip:port of the router.
    virtual void
    quota_ask_heard(const quota_query& ask, std::string_view from) = 0;
    virtual void quota_answer_heard(const quota_reply& answer) = 0;
    virtual void server_limit_word_heard(const server_limit_update& word) = 0;
};

/// Port: datagrams between the gateways. Each may be lost.
class gateway_peer_port
{
public:
    virtual ~gateway_peer_port() = default;

    virtual void start(gateway_peer_listener& listener) = 0;

    virtual void
    send(std::span<const std::string> addresses, const router_report& word) = 0;
    virtual void send(
        std::span<const std::string> addresses,
        const owner_announcement& word) = 0;
    virtual void send(
        std::span<const std::string> addresses,
        const connection_loss_report& word) = 0;
    virtual void send(
        std::span<const std::string> addresses,
        const directory_update& word) = 0;

    virtual void send(
        std::span<const std::string> addresses,
        const server_limit_update& word) = 0;
    virtual void send(std::string_view address, const quota_query& ask) = 0;
    virtual void send(std::string_view address, const quota_reply& answer) = 0;

    /// Nothing is called any more.
    virtual void stop() = 0;
};

} // namespace roseworks
