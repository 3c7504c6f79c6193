#include "app/control_thread.hpp"

#include "app/credentials_reload.hpp"

#include <boost/asio/post.hpp>

#include <chrono>
#include <ctime>
#include <exception>
#include <pthread.h>
#include <string_view>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

/// Connections that were broken have ended after this time.
constexpr std::chrono::seconds longest_stop{2};

std::unique_ptr<platform::http_vm_list_client> make_vm_list(
    asio::io_context& context,
    const control_options& settings,
    platform::byte_meter& meter)
{
    if (!settings.vm_list_server)
        return {};
    return std::make_unique<platform::http_vm_list_client>(
        context.get_executor(),
        *settings.vm_list_server,
        settings.vm_list,
        meter);
}

} // namespace

control_thread::control_thread(
    control_options settings,
    const clock_port& clock,
    event_sink& sink,
    control_notices notices,
    std::function<void()> on_failure)
    : events(sink)
    , failed(std::move(on_failure))
    , context(1)
    , work(asio::make_work_guard(this->context))
    , log(this->context.get_executor(),
          settings.log_server,
          settings.log,
          this->meter)
    , engines(
          this->context.get_executor(),
          settings.engines,
          settings.shown,
          this->meter)
    , watched_credentials(
          this->context.get_executor(),
          watch_credentials(
              settings.credentials_file,
              std::move(settings.shown),
              [this](const platform::credentials& read)
              {
                  this->engines.set_credentials(read);
              },
              sink))
    , vm_list(make_vm_list(this->context, settings, this->meter))
    , peers(
          this->context,
          std::move(settings.keys),
          std::move(settings.peers),
          clock,
          sink)
    , loop(
          this->context.get_executor(),
          this->with_peer_address(std::move(settings.control)),
          this->make_ports(clock),
          this->with_claims(std::move(notices)))
    , desk(this->context.get_executor(), this->loop)
{
}

control_thread::~control_thread()
{
    this->stop();
}

std::string control_thread::peer_address() const
{
    return this->peers.address();
}

controller::options
control_thread::with_peer_address(controller::options wanted) const
{
    wanted.peer_address = this->peers.address();
    return wanted;
}

control_ports control_thread::make_ports(const clock_port& clock)
{
    return {
        clock,
        this->log,
        this->engines,
        this->vm_list.get(),
        this->peers,
        this->events};
}

control_notices control_thread::with_claims(control_notices wanted)
{
    wanted.claim_decided = [this](const claim_result& result)
    {
        this->desk.decided(result);
    };
    wanted.claims_dropped = [this]
    {
        this->desk.dropped();
    };
    return wanted;
}

void control_thread::start(std::string http_address)
{
    this->post(
        [this, address = std::move(http_address)](control_loop& driven)
        {
            this->watched_credentials.start();
            driven.start(address);
        });
    std::packaged_task<void()> task(
        [this]
        {
            this->run();
        });
    this->ended = task.get_future();
    this->thread = std::thread(std::move(task));
}

void control_thread::stop()
{
    if (!this->thread.joinable())
        return;
    this->post(
        [this](control_loop& driven)
        {
            this->watched_credentials.stop();
            driven.stop();
        });
    this->work.reset();
    if (this->ended.wait_for(longest_stop) == std::future_status::timeout)
        this->context.stop();
    this->thread.join();
}

void control_thread::post(std::function<void(control_loop&)> step)
{
    asio::post(
        this->context,
        [this, step = std::move(step)]
        {
            step(this->loop);
        });
}

void control_thread::reload_files()
{
    asio::post(
        this->context,
        [this]
        {
            this->watched_credentials.reload();
            this->peers.reload_keys();
        });
}

claim_port& control_thread::claims()
{
    return this->desk;
}

duration control_thread::processor_time() const
{
    clockid_t id{};
    timespec time{};
    // The handle is only written before the traffic threads start.
    const pthread_t handle =
        const_cast<std::thread&>(this->thread).native_handle();
    if (pthread_getcpuclockid(handle, &id) != 0 ||
        clock_gettime(id, &time) != 0)
        return {};
    return std::chrono::duration_cast<duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec));
}

const platform::byte_meter& control_thread::bytes() const
{
    return this->meter;
}

const udp_peers::counters& control_thread::datagrams() const
{
    return this->peers.traffic();
}

void control_thread::run()
{
    try
    {
        this->context.run();
    }
    catch (const std::exception& fault)
    {
        this->events.report(
            event_id::internal_error,
            {{"where", std::string_view("control thread")},
             {"reason", std::string_view(fault.what())}});
        this->failed();
    }
}

} // namespace roseworks::app
