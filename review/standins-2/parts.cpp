// Case: one part of a prompt crashes each replica that begins to write an
// answer on it. MODE: batches, late-part or herd; query, for a finding: one
// request that crashes replicas comes again with another query each time.
#include "standin.hpp"

using namespace standin;

namespace
{

const std::string mode = std::getenv("MODE");
constexpr int gateway_count = 3;
constexpr int replica_count = 9;
constexpr double contact_s = 3;
constexpr milliseconds down_time{3000};
constexpr milliseconds sound_interval{60};
const std::string deadly_part = "dead0001";

/// The crash from which the rule counts.
const std::size_t first_counted = mode == "query" ? 3 : 5;

struct reach
{
    double at = 0;
    std::string id;
    std::string replica;
};

std::vector<reach> reached;  ///< requests with the deadly part, at replicas
std::vector<double> crashes; ///< of replicas, under such requests
int sound_asked = 0;
int sound_served = 0;
/// Sound requests that ran at a replica when it crashed later than contact_ms
/// after the fifth crash.
int sound_lost_late = 0;

/// Sound requests at a replica, by its life.
std::map<std::pair<const replica*, int>, int> sound_running;

/// Counts a sound request while it is at a replica.
struct counted_run
{
    counted_run(const replica& self, bool is_sound)
        : place(&self, self.life)
        , size(is_sound ? 1 : 0)
    {
        sound_running[this->place] += this->size;
    }

    ~counted_run()
    {
        sound_running[this->place] -= this->size;
    }

    counted_run(const counted_run&) = delete;
    counted_run& operator=(const counted_run&) = delete;

    const std::pair<const replica*, int> place;
    const int size;
};

bool names_part(const message& request)
{
    if (mode == "query")
        return request.target().starts_with("/batch/poison");
    const std::string list = request.field("Prompt-Prefix");
    return list.find(deadly_part + ":") != std::string::npos;
}

task<> stream(replica& self, channel_ptr one, const message& request)
{
    const int life = self.life;
    const bool is_deadly = names_part(request);
    const counted_run counted(self, !is_deadly);
    if (is_deadly)
    {
        reached.push_back({now_s(), request.field("Attempt-Id"), self.id});
        note(
            "request %s with the part reaches %s",
            request.field("Attempt-Id").c_str(),
            self.id.c_str());
    }
    // Reads the prompt.
    co_await sleep_for(milliseconds(25 + random_numbers()() % 20));
    if (!self.is_same_life(life))
        co_return;
    if (is_deadly && has_trouble())
    {
        crashes.push_back(now_s());
        const int sound = sound_running[{&self, life}];
        note(
            "crash %zu: %s, with %d sound requests",
            crashes.size(),
            self.id.c_str(),
            sound);
        if (crashes.size() > first_counted &&
            now_s() > crashes[first_counted - 1] + contact_s)
            sound_lost_late += sound;
        self.crash(down_time);
        co_return;
    }
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : self.common(request))
        head += name + ": " + value + "\r\n";
    head += "Response-Seal: s" + request.field("Attempt-Id") +
            "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n";
    bool is_open = co_await one->write(head);
    constexpr int events = 14;
    for (int i = 1; is_open && i <= events; ++i)
    {
        co_await sleep_for(milliseconds(15));
        if (!self.is_same_life(life))
            co_return;
        const std::string event =
            "id: " + std::to_string(i) + "\ndata: tokens\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        const std::string chunk = size + event + "\r\n";
        is_open = co_await one->write(chunk);
    }
    const std::string end = "0\r\n\r\n";
    if (is_open)
        co_await one->write(end);
}

std::string stream_request(
    const std::string& parts,
    const std::string& target = "/batch/plan",
    const std::string& body = "plan " + random_hex(24))
{
    return request_bytes(
        "POST",
        target,
        {{"Host", "shop.example"},
         {"Attempt-Id", random_hex(16)},
         {"Model", "m0"},
         {"Token-Usage", "646,70"},
         {"Prompt-Prefix", parts},
         {"Deadline-Ms", "8000"}},
        body);
}

/// All parts of a prompt together have 646 tokens.
std::string own_part(int tokens = 91)
{
    return random_hex(8) + ":" + std::to_string(tokens);
}

std::string sound_parts()
{
    return "5a5a0001:155,c0de000" + std::to_string(random_numbers()() % 8) +
           ":400," + own_part();
}

std::string deadly_parts()
{
    if (mode != "late-part")
        return "5a5a0001:155," + deadly_part + ":400," + own_part();
    // A long session: forty parts, of which the 36th is the deadly one.
    std::string parts = "5a5a0001:155";
    for (int i = 2; i <= 39; ++i)
        parts += "," + (i == 36 ? deadly_part : random_hex(8)) + ":10";
    return parts + "," + own_part(111);
}

task<> sound_client(tcp::endpoint to)
{
    ++sound_asked;
    const std::string request = stream_request(sound_parts());
    const outcome got = co_await ask(to, request, milliseconds(8000));
    const bool is_served = got.answer.status() == 200 && got.answer.complete;
    sound_served += is_served ? 1 : 0;
    note(
        "a sound request got %d, run by %s",
        got.answer.status(),
        is_served ? got.answer.field("Response-Seal").c_str() : "-");
}

task<> deadly_client(tcp::endpoint to)
{
    const std::string request =
        mode == "query"
            ? stream_request(
                  sound_parts(), "/batch/poison?t=" + random_hex(8), "same")
            : stream_request(deadly_parts());
    const outcome got = co_await ask(to, request, milliseconds(8000));
    note("a request with the part got %d", got.answer.status());
}

task<> sound_traffic(std::vector<tcp::endpoint> to, double until)
{
    while (now_s() < until)
    {
        start(sound_client(to[random_numbers()() % to.size()]));
        co_await sleep_for(sound_interval);
    }
}

/// @return Requests with the part that reached replicas later than contact_ms
///         after the fifth crash, but for `excused` times.
int late_requests(const std::vector<std::pair<double, double>>& excused)
{
    if (crashes.size() < first_counted)
        return 0;
    int count = 0;
    for (const reach& one : reached)
    {
        const bool is_excused = std::ranges::any_of(
            excused,
            [&](const auto& span)
            {
                return one.at >= span.first && one.at <= span.second;
            });
        if (one.at > crashes[first_counted - 1] + contact_s && !is_excused)
        {
            ++count;
            note("counts: %s at %.3f", one.id.c_str(), one.at);
        }
    }
    return count;
}

task<> play()
{
    store platform;
    write_configuration(
        platform,
        1,
        {stream_route("/batch/", "plan", 8000, 2500, 1)},
        {engine_service("plan", {"m0", "m1"})});
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < replica_count; ++i)
    {
        replica::options made;
        made.service = "plan";
        made.zone = "zone-" + std::string(1, static_cast<char>('a' + i % 3));
        made.is_engine = true;
        made.models = {"m0"};
        made.run = stream;
        replicas.push_back(std::make_unique<replica>(platform, made));
    }
    std::vector<std::unique_ptr<gateway>> gateways;
    std::vector<tcp::endpoint> doors;
    for (int i = 0; i < gateway_count; ++i)
    {
        gateway::options made;
        made.name = "edge-" + std::to_string(i + 1);
        made.ip = "127.0.0." + std::to_string(i + 1);
        made.zone = "zone-" + std::string(1, static_cast<char>('a' + i));
        made.store = platform.address();
        gateways.push_back(std::make_unique<gateway>(made));
        gateways.back()->run(true);
        doors.push_back(gateways.back()->requests());
    }
    for (const auto& one : gateways)
    {
        const bool is_ready = co_await wait_ready(*one, 20);
        if (!is_ready)
            finish(2);
    }
    note("ready");
    const double end = now_s() + std::atof(std::getenv("SECONDS_LONG"));
    start(sound_traffic(doors, end));
    co_await sleep_for(milliseconds(6000));
    std::vector<std::pair<double, double>> excused;
    if (mode == "batches")
    {
        while (now_s() < end - 3)
        {
            for (int i = 0; i < 6; ++i)
                start(deadly_client(doors[random_numbers()() % doors.size()]));
            co_await sleep_for(milliseconds(5000));
        }
    }
    else
    {
        const bool is_herd = mode == "herd";
        std::size_t next_kill = 4;
        while (now_s() < end - 3)
        {
            start(deadly_client(doors[random_numbers()() % doors.size()]));
            co_await sleep_for(milliseconds(is_herd ? 4000 : 1500));
            if (!is_herd || next_kill > 8 || crashes.size() < next_kill)
                continue;
            next_kill += 4;
            const double began = now_s();
            for (const auto& one : gateways)
                one->kill();
            co_await sleep_for(milliseconds(500));
            for (const auto& one : gateways)
                one->run(false);
            excused.emplace_back(began, now_s() + contact_s);
            co_await sleep_for(milliseconds(4000));
        }
    }
    co_await sleep_for(milliseconds(3500));
    const int late = late_requests(excused);
    note(
        "%zu requests with the part reached replicas, %zu crashes, %d of them "
        "reached later than contact_ms after crash %zu; %d of %d sound "
        "requests served, %d were lost with replicas that such late requests "
        "crashed",
        reached.size(),
        crashes.size(),
        late,
        first_counted,
        sound_served,
        sound_asked,
        sound_lost_late);
    finish(late > 3 ? 1 : 0);
}

} // namespace

int main()
{
    start(play());
    loop().run();
    return 2;
}
