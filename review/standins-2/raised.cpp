// Finding: a configuration raises max_body_bytes; connections that were open
// before keep the old limit.
#include "standin.hpp"

using namespace standin;

namespace
{

constexpr int clients = 40;
constexpr int old_limit = 65'536;
constexpr int new_limit = 4'194'304;
constexpr std::size_t small_body = 600;
constexpr std::size_t large_body = 100'000;

bool are_large = false;
int large_asked = 0;
int large_refused = 0; ///< 413, though the newest version allows them

task<> run_request(replica& self, channel_ptr one, const message& request)
{
    headers fields = self.common(request);
    co_await sleep_for(milliseconds(15));
    fields.emplace_back(
        "Response-Seal", self.id + "." + request.field("Attempt-Id"));
    const std::string told = response_bytes(200, fields, std::string(800, 'x'));
    co_await one->write(told);
}

/// A client that keeps its connection.
task<> client(tcp::endpoint to, double until)
{
    while (now_s() < until)
    {
        auto one = std::make_shared<channel>(tcp::socket(loop()));
        const auto [error] = co_await one->socket.async_connect(to, as_tuple);
        bool is_open = !error;
        while (is_open && now_s() < until)
        {
            const bool is_large = are_large;
            const std::string request = request_bytes(
                "POST",
                "/face/1",
                {{"Host", "shop.example"},
                 {"Attempt-Id", random_hex(16)},
                 {"Deadline-Ms", "1500"}},
                std::string(is_large ? large_body : small_body, 'b'));
            const bool is_sent = co_await one->write(request);
            auto head = co_await one->read_head();
            is_open = is_sent && head.has_value();
            const int status = head ? head->status() : 0;
            if (head)
                co_await one->read_body(*head, true);
            note(
                "a body of %zu bytes got %d",
                is_large ? large_body : small_body,
                status);
            large_asked += is_large ? 1 : 0;
            large_refused += is_large && status == 413 ? 1 : 0;
            co_await sleep_for(milliseconds(1000));
        }
        co_await sleep_for(milliseconds(100));
    }
}

void configure(store& platform, int version, int max_body_bytes)
{
    write_configuration(
        platform,
        version,
        {plain_route("/face/", "non_idempotent", "scan", 1500, 100)},
        {plain_service("scan")},
        max_body_bytes);
}

task<> play()
{
    store platform;
    configure(platform, 1, has_trouble() ? old_limit : new_limit);
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < 3; ++i)
    {
        replica::options made;
        made.service = "scan";
        made.slots = 6;
        made.run = run_request;
        replicas.push_back(std::make_unique<replica>(platform, made));
    }
    gateway::options made;
    made.name = "edge-1";
    made.ip = "127.0.0.1";
    made.store = platform.address();
    gateway one(made);
    one.run(true);
    const bool is_ready = co_await wait_ready(one, 20);
    if (!is_ready)
        finish(2);
    co_await sleep_for(milliseconds(1000));
    const double until = now_s() + 20;
    for (int i = 0; i < clients; ++i)
        start(client(one.requests(), until));
    co_await sleep_for(milliseconds(4000));
    if (has_trouble())
        configure(platform, 2, new_limit);
    note("the newest version allows %d bytes", new_limit);
    co_await sleep_for(milliseconds(4000));
    are_large = true;
    co_await sleep_for(milliseconds(10'000));
    // 5 + one in 500 of all requests, of which there are under 1,000.
    constexpr int allowed = 7;
    note(
        "%d requests with %zu bytes, %d of them got 413, allowed: %d",
        large_asked,
        large_body,
        large_refused,
        allowed);
    finish(large_refused > allowed ? 1 : 0);
}

} // namespace

int main()
{
    start(play());
    loop().run();
    return 2;
}
