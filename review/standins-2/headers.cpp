// Case: a few clients whose request heads are inside the limits, with a long
// Connection header and many fields. Ordinary clients ask meanwhile. With
// UNREAD=1, for a finding: clients that ask for large answers and read none.
#include "standin.hpp"

using namespace standin;

namespace
{

constexpr double calm_s = 8;
constexpr double trouble_s = 30;
constexpr int hostile_clients = 40;
constexpr int unread_clients = 60;
constexpr int unread_requests = 50; ///< of one connection
const bool is_unread = std::getenv("UNREAD") != nullptr;
const std::size_t answer_bytes = is_unread ? 200'000 : 800;

struct counts
{
    int asked = 0;
    int served = 0;
    int refused = 0;
};

task<> answer_plainly(replica& self, channel_ptr one, const message& request)
{
    const headers fields = self.common(request);
    co_await sleep_for(milliseconds(15));
    headers sealed = fields;
    sealed.emplace_back("Response-Seal", "s" + request.field("Attempt-Id"));
    const std::string told =
        response_bytes(200, sealed, std::string(answer_bytes, 'x'));
    co_await one->write(told);
}

std::string ordinary_request()
{
    return request_bytes(
        "GET",
        "/price/1",
        {{"Host", "shop.example"},
         {"Attempt-Id", random_hex(16)},
         {"Deadline-Ms", "1500"}},
        "");
}

/// @return A request with a head of that many bytes. With PLAIN=1 a head of the
///         same size without a list of names, for comparison.
std::string hostile_request(std::size_t head_bytes)
{
    const bool is_plain = std::getenv("PLAIN") != nullptr;
    std::string request = "GET /price/1 HTTP/1.1\r\nHost: shop.example\r\n"
                          "Attempt-Id: " +
                          random_hex(16) + "\r\nDeadline-Ms: 1500\r\n" +
                          (is_plain ? "Note: " : "Connection: ");
    while (request.size() < head_bytes / 2)
        request += is_plain ? "b" : "b,";
    request += is_plain ? "\r\n" : "keep-alive\r\n";
    while (request.size() < head_bytes - 10)
        request += "a:\r\n";
    return request + "\r\n";
}

task<> ask_once(tcp::endpoint to, counts& into)
{
    ++into.asked;
    // A client retries once within its deadline.
    for (int tries = 0; tries < 2; ++tries)
    {
        const std::string request = ordinary_request();
        const outcome got = co_await ask(to, request, milliseconds(1500));
        note(
            "an ordinary request got %d, run by %s",
            got.answer.status(),
            got.answer.field("Response-Seal").c_str());
        if (got.answer.status() == 200 && got.answer.complete)
        {
            ++into.served;
            co_return;
        }
    }
}

task<> ordinary_clients(tcp::endpoint to, counts& into, double until)
{
    while (now_s() < until)
    {
        start(ask_once(to, into));
        co_await sleep_for(milliseconds(50));
    }
}

task<> hostile_client(tcp::endpoint to, double until, int& sent)
{
    const std::string request = hostile_request(16'000);
    while (now_s() < until)
    {
        auto one = std::make_shared<channel>(tcp::socket(loop()));
        const auto [error] = co_await one->socket.async_connect(to, as_tuple);
        while (!error && now_s() < until)
        {
            const bool done_1 = co_await one->write(request);
            if (!done_1)
                break;
            ++sent;
            auto head = co_await one->read_head();
            if (!head)
                break;
            co_await one->read_body(*head, true);
            note("a long head got %d", head->status());
        }
        co_await sleep_for(milliseconds(100));
    }
}

/// Sends requests and reads nothing.
task<> unread_client(tcp::endpoint to, double until)
{
    std::string requests;
    for (int i = 0; i < unread_requests; ++i)
        requests += ordinary_request();
    while (now_s() < until)
    {
        tcp::socket socket(loop());
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(2048));
        const auto [error] = co_await socket.async_connect(to, as_tuple);
        if (!error)
        {
            note("a client that reads nothing sends its requests");
            const auto [failed, size] = co_await asio::async_write(
                socket, asio::buffer(requests), as_tuple);
            const auto [gone] =
                co_await socket.async_wait(tcp::socket::wait_error, as_tuple);
        }
        co_await sleep_for(milliseconds(100));
    }
}

task<> watch_ready(const gateway& one, double until, int& asked, int& answered)
{
    const std::string request =
        request_bytes("GET", "/ready", {{"Host", "x"}}, "");
    while (now_s() < until)
    {
        ++asked;
        const outcome got =
            co_await ask(one.readiness(), request, milliseconds(1000));
        answered += got.answer.status() == 200 ? 1 : 0;
        co_await sleep_for(milliseconds(1000));
    }
}

task<> play()
{
    store platform;
    write_configuration(
        platform,
        1,
        {plain_route("/price/", "idempotent", "scan", 1500, 100)},
        {plain_service("scan")});
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < 3; ++i)
        replicas.push_back(std::make_unique<replica>(
            platform,
            replica::options{
                .service = "scan", .slots = 6, .run = answer_plainly}));
    gateway one(
        {.name = "edge-1", .ip = "127.0.0.1", .store = platform.address()});
    one.run(true);
    const bool done_2 = co_await wait_ready(one, 20);
    if (!done_2)
        finish(2);
    co_await sleep_for(milliseconds(1000));
    note("ready");
    counts calm;
    co_await ordinary_clients(one.requests(), calm, now_s() + calm_s);
    co_await sleep_for(milliseconds(3500));
    note("before: %d of %d ordinary requests served", calm.served, calm.asked);
    if (calm.served * 10 < calm.asked * 9)
        finish(2);
    const double until = now_s() + trouble_s;
    int sent = 0;
    int probes = 0;
    int answered = 0;
    counts during;
    start(watch_ready(one, until, probes, answered));
    if (has_trouble() && is_unread)
    {
        for (int i = 0; i < unread_clients; ++i)
            start(unread_client(one.requests(), until));
    }
    else if (has_trouble())
    {
        for (int i = 0; i < hostile_clients; ++i)
            start(hostile_client(one.requests(), until, sent));
    }
    co_await ordinary_clients(one.requests(), during, until);
    co_await sleep_for(milliseconds(4000));
    note(
        "during: %d of %d ordinary requests served; %d long heads sent; %d of "
        "%d "
        "readiness probes answered 200 within a second",
        during.served,
        during.asked,
        sent,
        answered,
        probes);
    if (one.has_ended())
        finish(1);
    finish(during.served * 2 < during.asked ? 1 : 0);
}

} // namespace

int main()
{
    start(play());
    loop().run();
    return 2;
}
