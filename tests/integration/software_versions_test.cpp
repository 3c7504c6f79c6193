// Gateways as real processes before servers of two software versions. Callers
// take their streams up at other gateways.

#include "tests/support/gateway_process.hpp"
#include "tests/support/platform_store.hpp"
#include "tests/support/streaming_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <regex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr std::size_t caller_count = 24;
constexpr int most_tries = 40;

/// Of the streams whose gateway was killed.
constexpr double required_share = 0.95;

const std::string configuration =
    R"({"version":1,"routes":[{"name":"r","host":"a.example",)"
    R"("path_prefix":"/a/","kind":"streaming","resumable":true,)"
    R"("max_attempts":4,"timeout_ms":20000,"service":"s"}],)"
    R"("services":[{"name":"s"}]})";

template <class Reached>
bool reached(Reached is_reached)
{
    constexpr int most_looks = 400;
    for (int i = 0; i < most_looks; ++i)
    {
        if (is_reached())
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

/// What a caller has received of its stream, over all tries.
struct caller_stream
{
    std::string first_attempt; ///< that brought the first event
    int last_event = 0;
    std::set<std::string> versions;
    bool is_out_of_order = false;
    bool is_complete = false;
};

/// Reads events until the connection ends, or up to an event.
void read_events(
    asio::ip::tcp::socket& socket, caller_stream& stream, int last_wanted)
{
    static const std::regex event("id: ([0-9]+)\ndata: ([^\n]*)\n\n");
    std::string text;
    std::array<char, 4096> piece{};
    boost::system::error_code error;
    while (!error)
    {
        const std::size_t size = socket.read_some(asio::buffer(piece), error);
        text.append(piece.data(), size);
        std::smatch found;
        while (std::regex_search(text, found, event))
        {
            const int id = std::stoi(found[1]);
            stream.is_out_of_order =
                stream.is_out_of_order || id != stream.last_event + 1;
            stream.last_event = id;
            stream.versions.insert(found[2]);
            text = found.suffix();
        }
        stream.is_complete = text.find("0\r\n\r\n") != std::string::npos &&
                             stream.last_event == streaming_server::event_count;
        if (stream.is_complete || stream.last_event >= last_wanted)
            return;
    }
}

void try_once(
    const std::string& address,
    const std::string& attempt,
    caller_stream& stream,
    int last_wanted = streaming_server::event_count + 1)
{
    const auto colon = address.find(':');
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(
        {asio::ip::make_address(address.substr(0, colon)),
         static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))},
        error);
    std::string request = "POST /a/x HTTP/1.1\r\nHost: a.example\r\n"
                          "Content-Length: 0\r\nDeadline-Ms: 20000\r\n"
                          "Connection: close\r\nAttempt-Id: " +
                          attempt + "\r\n";
    if (stream.last_event != 0)
        request += "Last-Event-Id: " + std::to_string(stream.last_event) +
                   "\r\nResumes: " + stream.first_attempt + "\r\n";
    request += "\r\n";
    if (!error)
        asio::write(socket, asio::buffer(request), error);
    if (error)
        return;
    const bool had_events = stream.last_event != 0;
    read_events(socket, stream, last_wanted);
    if (!had_events && stream.last_event != 0)
        stream.first_attempt = attempt;
}

/// @return Whether a stream that begins at one gateway goes on at another.
bool goes_on(const std::string& first, const std::string& other)
{
    static int probes = 0;
    const std::string name = "probe-" + std::to_string(++probes) + "-";
    caller_stream stream;
    try_once(first, name + "0", stream, 1);
    const int before = stream.last_event;
    try_once(other, name + "1", stream, before + 1);
    return before != 0 && stream.last_event > before;
}

} // namespace

Test(software_versions, streams_of_killed_gateways_go_on_at_their_version)
{
    platform_store store(1);
    store.write("keyed.op", "config", configuration);
    std::vector<std::unique_ptr<streaming_server>> servers;
    for (const char* version : {"v1", "v1.1", "v1", "v1.1"})
    {
        servers.push_back(std::make_unique<streaming_server>(version));
        store.write(
            "keyed.servers",
            "i-" + std::to_string(servers.size()),
            servers.back()->entry());
    }
    std::vector<std::unique_ptr<gateway_process>> gateways;
    for (const char* name : {"versions-a", "versions-b", "versions-c"})
        gateways.push_back(std::make_unique<gateway_process>(
            gateway_process::options{name, store.address(0)}));
    cr_assert(reached(
        [&]
        {
            return store.keys("keyed.routers") == gateways.size() &&
                   std::ranges::all_of(
                       gateways,
                       [](const auto& one)
                       {
                           return one->is_ready();
                       });
        }));
    const std::string first = gateways[0]->address();
    const std::string others[] = {
        gateways[1]->address(), gateways[2]->address()};
    // A gateway has to know the others before it can tell them.
    cr_assert(reached(
        [&]
        {
            return goes_on(first, others[0]) && goes_on(first, others[1]);
        }));
    std::vector<caller_stream> streams(caller_count);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < caller_count; ++i)
        callers.emplace_back(
            [&, i]
            {
                const std::string name = "attempt-" + std::to_string(i) + "-";
                try_once(first, name + "0", streams[i]);
                for (int n = 1; n < most_tries && !streams[i].is_complete; ++n)
                {
                    try_once(
                        others[(i + static_cast<std::size_t>(n)) % 2],
                        name + std::to_string(n),
                        streams[i]);
                    std::this_thread::sleep_for(50ms);
                }
            });
    std::this_thread::sleep_for(400ms);
    gateways[0].reset();
    std::this_thread::sleep_for(200ms);
    servers[0]->reset();
    servers[1]->reset();
    for (std::thread& caller : callers)
        caller.join();
    std::size_t complete = 0;
    for (const caller_stream& one : streams)
    {
        cr_expect_leq(one.versions.size(), 1, "a stream has two versions");
        cr_expect_not(one.is_out_of_order);
        complete += one.is_complete ? 1 : 0;
    }
    cr_expect_geq(
        static_cast<double>(complete),
        required_share * static_cast<double>(caller_count),
        "%zu of %zu are complete",
        complete,
        caller_count);
}
