#include "app/crash_witness.hpp"

#include "adapters/platform/endpoint.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>
#include <utility>

namespace roseworks::app
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds connect_limit{1000};
constexpr std::chrono::milliseconds pause{500};
constexpr int most_tries = 10;

} // namespace

struct crash_witness::inquiry
{
    inquiry(const asio::any_io_executor& executor, crash_seen seen)
        : what(std::move(seen))
        , socket(executor)
        , timer(executor)
    {
    }

    crash_seen what;
    std::uint64_t incarnation = 0; ///< before the connection broke
    int tries = 0;
    tcp::socket socket;
    asio::steady_timer timer;
};

crash_witness::crash_witness(
    asio::any_io_executor executor, engine_port& engines, report tell)
    : executor(std::move(executor))
    , engines(engines)
    , tell(std::move(tell))
{
}

void crash_witness::engine_seen(engine_id engine, std::uint64_t incarnation)
{
    this->incarnations[engine] = incarnation;
}

void crash_witness::stop()
{
    this->stopped = true;
}

void crash_witness::examine(const crash_seen& what)
{
    if (this->stopped)
        return;
    const auto about = std::make_shared<inquiry>(this->executor, what);
    const auto known = this->incarnations.find(what.engine);
    if (known != this->incarnations.end())
        about->incarnation = known->second;
    this->connect(about);
}

void crash_witness::connect(const inquiry_ptr& about)
{
    const auto endpoint = platform::parse_endpoint(about->what.address);
    if (!endpoint)
    {
        this->tell(about->what, crash_finding::unknown);
        return;
    }
    ++about->tries;
    about->socket = tcp::socket(this->executor);
    about->timer.expires_after(connect_limit);
    about->timer.async_wait(
        [about](const boost::system::error_code& cancelled)
        {
            boost::system::error_code ignored;
            if (!cancelled)
                about->socket.close(ignored);
        });
    about->socket.async_connect(
        *endpoint,
        [this, about](const boost::system::error_code& error)
        {
            about->timer.cancel();
            if (error != asio::error::operation_aborted && !this->stopped)
                this->connected(about, error);
        });
}

void crash_witness::connected(
    const inquiry_ptr& about, const boost::system::error_code& error)
{
    boost::system::error_code ignored;
    about->socket.close(ignored);
    if (error == asio::error::connection_refused)
    {
        this->tell(about->what, crash_finding::crashed);
        return;
    }
    if (error)
    {
        this->try_again(about);
        return;
    }
    if (about->what.engine)
    {
        this->read(about);
        return;
    }
    // A plain service that takes connections has not crashed.
    this->tell(about->what, crash_finding::survived);
}

void crash_witness::read(const inquiry_ptr& about)
{
    this->engines.read_state(
        {about->what.engine, about->what.address},
        [this, about](const engine_report& report)
        {
            if (!this->stopped)
                this->state_read(about, report);
        });
}

void crash_witness::state_read(
    const inquiry_ptr& about, const engine_report& report)
{
    if (!report.reachable)
    {
        this->try_again(about);
        return;
    }
    if (about->incarnation == 0)
        this->tell(about->what, crash_finding::unknown);
    else if (report.incarnation == about->incarnation)
        this->tell(about->what, crash_finding::survived);
    else
        this->tell(about->what, crash_finding::crashed);
}

void crash_witness::try_again(const inquiry_ptr& about)
{
    if (about->tries >= most_tries)
    {
        this->tell(about->what, crash_finding::unknown);
        return;
    }
    about->timer.expires_after(pause);
    about->timer.async_wait(
        [this, about](const boost::system::error_code& cancelled)
        {
            if (!cancelled && !this->stopped)
                this->connect(about);
        });
}

} // namespace roseworks::app
