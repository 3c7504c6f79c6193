#include "app/gateway/gateway_control.hpp"

#include "platform/store_directory.hpp"

#include <boost/asio/post.hpp>

#include <exception>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

asio::ip::tcp::endpoint
tcp_endpoint(const settings::socket_address& address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

users_platform::store_directory::options
directory_options(const settings::gateway_settings& settings)
{
    users_platform::store_directory::options made;
    made.server = tcp_endpoint(settings.store.address);
    made.self = {settings.vm.name, settings.listen.peers.to_string()};
    made.term = std::max(made.term, settings.store.shortest_term);
    return made;
}

} // namespace

gateway_control::gateway_control(
    const settings::gateway_settings& wanted,
    const clock_port& time,
    event_sink& sink,
    newest_table<serving_table_ptr>& tables,
    std::shared_ptr<edge::shared_dispatcher> dispatch,
    notices told)
    : settings(wanted)
    , clock(time)
    , events(sink)
    , tell(std::move(told))
    , loop(1)
    , work(this->loop.get_executor())
    , desk(std::make_unique<serving_desk>(
          this->loop,
          serving_desk::options(),
          time,
          sink,
          tables,
          *dispatch,
          serving_desk::notices{
              this->tell.on_deployment,
              []
              {
              }}))
    , directory(std::make_unique<users_platform::store_directory>(
          this->loop, directory_options(wanted), time, sink, this->meter))
{
}

gateway_control::~gateway_control()
{
    this->stop();
}

void gateway_control::start()
{
    asio::post(
        this->loop,
        [this]
        {
            this->desk->start();
            this->directory->start(*this);
        });
    this->thread = std::thread(
        [this]
        {
            this->run();
        });
}

void gateway_control::run()
{
    try
    {
        this->loop.run();
    }
    catch (const std::exception& error)
    {
        this->tell.on_failure(error.what());
    }
}

void gateway_control::resign()
{
    asio::post(
        this->loop,
        [this]
        {
            this->directory->resign();
        });
}

void gateway_control::demand_arose(const demand& what)
{
    static_cast<void>(what);
}

void gateway_control::connection_broke(
    const std::string& address, fingerprint request)
{
    static_cast<void>(address);
    static_cast<void>(request);
}

void gateway_control::stop()
{
    if (!this->thread.joinable())
        return;
    asio::post(
        this->loop,
        [this]
        {
            this->directory->stop();
            this->desk->stop();
            this->work.reset();
            this->loop.stop();
        });
    this->thread.join();
}

void gateway_control::deployment_read(
    std::shared_ptr<const deployment> configuration)
{
    this->desk->deployment_read(std::move(configuration));
}

void gateway_control::servers_listed(std::vector<server_entry> all)
{
    this->desk->servers_listed(std::move(all));
}

void gateway_control::server_read(server_entry entry)
{
    this->desk->server_read(std::move(entry));
}

void gateway_control::server_removed(std::string_view id)
{
    this->desk->server_removed(id);
}

void gateway_control::routers_listed(std::vector<router_address> all)
{
    static_cast<void>(all);
}

void gateway_control::tenure_changed(std::optional<placement_tenure> held)
{
    static_cast<void>(held);
}

void gateway_control::directory_lost()
{
    this->lost_at = this->clock.now();
    this->events.report(event_id::store_lost);
}

void gateway_control::directory_back()
{
    const auto away = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->clock.now() - this->lost_at);
    this->events.report(event_id::store_back, {{"away_ms", away.count()}});
    this->desk->store_back();
}

} // namespace roseworks::app
