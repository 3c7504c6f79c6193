#include "tests/support/gateway_process.hpp"

#include "tests/support/http_call.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <fstream>
#include <unistd.h>
#include <vector>

namespace roseworks::test
{

namespace asio = boost::asio;

namespace
{

/// @return Whether neither TCP nor UDP uses a port of loopback.
bool is_free(unsigned short port)
{
    asio::io_context context;
    const auto loopback = asio::ip::address_v4::loopback();
    boost::system::error_code taken;
    asio::ip::tcp::acceptor connections(context, asio::ip::tcp::v4());
    connections.bind({loopback, port}, taken);
    if (taken)
        return false;
    asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
    datagrams.bind({loopback, port}, taken);
    return !taken;
}

/// @return A free port that no other call of this process has given. Below
///         those that the kernel gives to connections, which might take it
///         before the gateway listens there.
unsigned free_port()
{
    constexpr int lowest = 10'000;
    constexpr int spread = 20'000;
    constexpr int apart = 97; // more than one test takes
    static int next = ::getpid() * apart % spread;
    while (true)
    {
        const auto port = static_cast<unsigned short>(lowest + next);
        next = (next + 1) % spread;
        if (is_free(port))
            return port;
    }
}

std::string free_address()
{
    return "127.0.0.1:" + std::to_string(free_port());
}

} // namespace

gateway_process::gateway_process(const options& settings)
    : requests(free_address())
    , readiness(free_address())
    , metrics(free_address())
    , settings_file(
          std::filesystem::temp_directory_path() /
          (settings.name + "-" + std::to_string(::getpid()) + ".ini"))
{
    std::ofstream file(this->settings_file);
    file << "[vm]\nname = " << settings.name
         << "\ndata_centre = " << settings.data_centre
         << "\ncores = 0.25\nlink_mbps = 100\nmemory_mb = "
         << settings.memory_mb << "\nfirst_start = false\n[listen]"
         << "\nrequests = " << this->requests
         << "\nreadiness = " << this->readiness
         << "\npeers = " << free_address() << "\nmetrics = " << this->metrics
         << "\n[store]\naddress = " << settings.store << '\n';
    file.close();
    const std::vector<std::string> arguments{
        "--config", this->settings_file.string()};
    this->process =
        std::make_unique<child_process>("roseworks-gateway", arguments);
}

gateway_process::~gateway_process()
{
    this->process.reset();
    std::filesystem::remove(this->settings_file);
}

bool gateway_process::is_ready() const
{
    return send(this->readiness, {.target = "/ready"}).status == 200;
}

unsigned gateway_process::ask(const std::string& path) const
{
    http_call call;
    call.target = path;
    call.headers = {
        {"Host", "a.example"}, {"Attempt-Id", "1"}, {"Deadline-Ms", "200"}};
    return send(this->requests, call).status;
}

} // namespace roseworks::test
