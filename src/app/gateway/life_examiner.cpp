#include "app/gateway/life_examiner.hpp"

#include "adapters/platform/endpoint.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <sstream>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

/// All tries together end within 3 s, the time within which every router has
/// to know of a crash.
constexpr std::chrono::milliseconds connect_timeout{500};
constexpr std::chrono::milliseconds retry_interval{200};
constexpr int max_tries = 4;

/// A server whose connections break again and again is examined at this
/// interval.
constexpr std::chrono::milliseconds min_interval{200};

/// More servers at once are left to the registry.
constexpr std::size_t max_running = 64;

std::string to_text(const tcp::endpoint& address)
{
    std::ostringstream text;
    text << address;
    return text.str();
}

} // namespace

struct life_examiner::examination
{
    examination(asio::io_context& loop, server_life which)
        : life(which)
        , socket(loop)
        , timer(loop)
    {
    }

    server_life life;
    tcp::endpoint address;
    int tries = 0;
    bool is_wanted = false; ///< again, for a connection that broke since
    tcp::socket socket;
    asio::steady_timer timer;
};

life_examiner::life_examiner(
    asio::io_context& context,
    reach_opinion_port& other_routers,
    callbacks handlers)
    : loop(context)
    , others(other_routers)
    , notify(std::move(handlers))
{
}

void life_examiner::stop()
{
    this->stopped = true;
    for (const auto& [life, current] : this->running)
    {
        boost::system::error_code ignored;
        current->socket.close(ignored);
        current->timer.cancel();
    }
    this->running.clear();
}

void life_examiner::examine(server_life life, const std::string& address)
{
    const auto endpoint = platform::parse_endpoint(address);
    if (this->stopped || !endpoint)
        return;
    const auto found = this->running.find(life);
    if (found != this->running.end())
    {
        found->second->is_wanted = true;
        return;
    }
    if (this->running.size() >= max_running)
        return;
    const auto current = std::make_shared<examination>(this->loop, life);
    current->address = *endpoint;
    this->running.emplace(life, current);
    this->connect(current);
}

void life_examiner::connect(const examination_ptr& current)
{
    ++current->tries;
    current->socket = tcp::socket(this->loop);
    current->timer.expires_after(connect_timeout);
    current->timer.async_wait(
        [current](const boost::system::error_code& cancelled)
        {
            boost::system::error_code ignored;
            if (!cancelled)
                current->socket.close(ignored);
        });
    current->socket.async_connect(
        current->address,
        [this, current](const boost::system::error_code& error)
        {
            if (this->stopped)
                return;
            current->timer.cancel();
            this->connected(current, error);
        });
}

void life_examiner::connected(
    const examination_ptr& current, const boost::system::error_code& error)
{
    boost::system::error_code ignored;
    current->socket.close(ignored);
    if (!error)
    {
        this->notify.on_reached(current->life);
        this->finish(current);
        return;
    }
    const bool is_refused = error == asio::error::connection_refused;
    if (!is_refused && current->tries < max_tries)
    {
        this->try_again(current);
        return;
    }
    this->others.ask(
        to_text(current->address),
        [this, current](reach_opinion found)
        {
            if (!this->stopped)
                this->conclude(current, found);
        });
}

void life_examiner::conclude(
    const examination_ptr& current, reach_opinion others_found)
{
    if (others_found == reach_opinion::reached)
        this->notify.on_reached(current->life);
    else
        this->notify.on_ended(
            current->life,
            others_found == reach_opinion::refused
                ? crash_evidence::refused
                : crash_evidence::unreachable);
    this->finish(current);
}

void life_examiner::try_again(const examination_ptr& current)
{
    current->timer.expires_after(retry_interval);
    current->timer.async_wait(
        [this, current](const boost::system::error_code& cancelled)
        {
            if (!cancelled && !this->stopped)
                this->connect(current);
        });
}

void life_examiner::finish(const examination_ptr& current)
{
    current->timer.expires_after(min_interval);
    current->timer.async_wait(
        [this, current](const boost::system::error_code& cancelled)
        {
            if (cancelled || this->stopped)
                return;
            if (!std::exchange(current->is_wanted, false))
            {
                this->running.erase(current->life);
                return;
            }
            current->tries = 0;
            this->connect(current);
        });
}

} // namespace roseworks::app
