// A gateway and a router as real processes before callers that don't stay
// inside the limits: the process lives, keeps within the memory and the
// descriptors of its VM, and serves an ordinary request while such callers are
// there and after them.

#include "fake_backend.hpp"
#include "tests/support/caller_crowd.hpp"
#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/gateway_process.hpp"
#include "tests/support/http_call.hpp"
#include "tests/support/platform_store.hpp"
#include "tests/support/process_usage.hpp"

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include <criterion/criterion.h>

using namespace roseworks::test;
using roseworks::edge::tests::backend_peer;
using roseworks::edge::tests::fake_backend;
using roseworks::edge::tests::header_of;

namespace
{

/// Of the VM. The bodies of the crowd are larger than its memory.
constexpr unsigned vm_memory_mb = 64;
constexpr std::uint64_t vm_descriptors = 400;

constexpr std::size_t max_body_bytes = std::size_t(512) << 10;
constexpr std::size_t large_chunk_bytes = std::size_t(64) << 10;
constexpr std::size_t caller_count = 192;

/// What a single caller sends whose bytes have no end.
constexpr std::size_t endless_bytes = std::size_t(128) << 20;

/// What each caller of a crowd sends beyond the limit.
constexpr std::size_t excess_bytes = std::size_t(2) << 20;

/// Connections that a process takes, and of a crowd that takes them all.
constexpr std::size_t router_places = 100;
constexpr std::size_t gateway_places = 600;
constexpr std::size_t probe_places = 64; ///< of a listener for probes
constexpr std::size_t crowd_beyond_places = 20;
constexpr std::size_t other_descriptors = 100;

/// Longer than a test waits.
const std::string long_time_limits =
    R"("header_timeout_ms":600000,"idle_timeout_ms":600000)";

/// Of an ordinary request.
constexpr std::size_t ordinary_body_bytes = 800;

/// A process that serves callers, before one server.
class deployment
{
public:
    virtual ~deployment() = default;

    virtual std::string address() const = 0;
    virtual child_process& process() = 0;
    /// @return The status that an ordinary request gets.
    virtual unsigned ask() = 0;
    /// @return Request line and headers of a request, without the last line
    ///         end.
    virtual std::string head() const = 0;

    std::string chunked_head() const
    {
        return this->head() + "Transfer-Encoding: chunked\r\n\r\n";
    }

    /// Waits until the process has read all that callers have sent.
    void settle() const
    {
        cr_assert(
            eventually(
                [&]
                {
                    return unread_bytes(this->address()) == 0;
                }),
            "what callers send isn't read");
    }

    /// Checks what holds at any time.
    void check()
    {
        this->settle();
        constexpr std::uint64_t kib_per_mb = 1000;
        cr_assert(this->process().running(), "the process has ended");
        const process_usage usage = usage_of(this->process().pid());
        cr_expect_leq(
            usage.peak_kib,
            vm_memory_mb * kib_per_mb,
            "%lu KiB are resident at the peak",
            usage.peak_kib);
        cr_expect_leq(
            usage.descriptors,
            vm_descriptors,
            "%lu descriptors are open",
            usage.descriptors);
        cr_expect_eq(this->ask(), 200U, "an ordinary request isn't served");
    }
};

/// Answers all requests once it is told to.
void answer_when(backend_peer& peer, const std::atomic<bool>& is_told)
{
    while (true)
    {
        const std::string request = peer.read_request();
        if (request.empty())
            return;
        while (!is_told)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        peer.send(
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nAttempt-Id: " +
            header_of(request, "Attempt-Id") + "\r\n\r\nok");
    }
}

const std::string usual_time_limits =
    R"("header_timeout_ms":10000,"idle_timeout_ms":60000)";

class gateway_deployment final : public deployment
{
public:
    /// @param time_limits Of callers, as a configuration has them.
    explicit gateway_deployment(
        const std::string& time_limits = usual_time_limits)
    {
        this->store.write("keyed.op", "config", configuration(time_limits));
        this->register_server("i-1", "s", this->backend);
        this->register_server("i-2", "slow", this->slow_backend);
        cr_assert(eventually(
            [&]
            {
                return this->gateway.is_ready() && this->ask() == 200;
            }));
    }

    std::string address() const override
    {
        return this->gateway.address();
    }

    child_process& process() override
    {
        return this->gateway.program();
    }

    /// From now on the server for `/slow/` answers, too.
    void answer_slow()
    {
        this->is_slow_told = true;
    }

    const std::string& readiness_address() const
    {
        return this->gateway.readiness_address();
    }

    const std::string& metrics_address() const
    {
        return this->gateway.metrics_address();
    }

    unsigned ask() override
    {
        http_call call;
        call.method = "POST";
        call.target = "/a/x";
        call.headers = {
            {"Host", "a.example"},
            {"Attempt-Id", "ordinary"},
            {"Deadline-Ms", "20000"}};
        call.body = std::string(ordinary_body_bytes, 'x');
        return send(this->gateway.address(), call).status;
    }

    std::string head() const override
    {
        return "POST /a/x HTTP/1.1\r\nHost: a.example\r\n"
               "Attempt-Id: crowd\r\nDeadline-Ms: 20000\r\n";
    }

private:
    void register_server(
        const std::string& id,
        const std::string& service,
        const fake_backend& server)
    {
        this->store.write(
            "keyed.servers",
            id,
            R"({"service":")" + service + R"(","address":")" +
                server.address() +
                R"(","zone":"dc","version":"v1","slots":64,)"
                R"("state":"ready","seq":1})");
    }

    static std::string configuration(const std::string& time_limits)
    {
        return R"({"version":1,"limits":{"max_header_bytes":8192,)"
               R"("max_body_bytes":)" +
               std::to_string(max_body_bytes) + "," + time_limits +
               R"(},"routes":[{"name":"r","host":"a.example",)"
               R"("path_prefix":"/a/","kind":"idempotent","max_attempts":3,)"
               R"("timeout_ms":20000,"service":"s"},)"
               R"({"name":"t","host":"a.example","path_prefix":"/slow/",)"
               R"("kind":"idempotent","max_attempts":1,"timeout_ms":60000,)"
               R"("service":"slow"}],)"
               R"("services":[{"name":"s"},{"name":"slow"}]})";
    }

    platform_store store{1};
    std::atomic<bool> is_slow_told{false};
    const std::atomic<bool> is_told{true};
    fake_backend backend{[this](backend_peer& peer)
                         {
                             answer_when(peer, this->is_told);
                         }};
    fake_backend slow_backend{[this](backend_peer& peer)
                              {
                                  answer_when(peer, this->is_slow_told);
                              }};
    gateway_process gateway{
        {.name = "misbehaving",
         .store = store.address(0),
         .memory_mb = vm_memory_mb}};
};

class router_deployment final : public deployment
{
public:
    /// @param traffic Further lines of the section `traffic`.
    explicit router_deployment(const std::string& traffic = {})
        : nodes(setup(traffic))
    {
        const auto applied = this->nodes.apply({});
        cr_assert_eq(applied.exit_code, 0, "%s", applied.output.c_str());
        cr_assert(this->nodes.wait_ready());
        cr_assert_eq(this->ask(), 200U);
    }

    std::string address() const override
    {
        return this->nodes.router_address(0);
    }

    child_process& process() override
    {
        return this->nodes.router(0);
    }

    unsigned ask() override
    {
        const std::string key = "key-" + std::to_string(++this->asked);
        const std::string text(ordinary_body_bytes, 'x');
        return send(this->address(), dispatch(key, "\"" + text + "\"")).status;
    }

    std::string head() const override
    {
        return "POST /services/s1/dispatch HTTP/1.1\r\nHost: a.example\r\n"
               "Content-Type: application/json\r\nIdempotency-Key: crowd\r\n";
    }

private:
    static fleet_setup setup(const std::string& traffic)
    {
        fleet_setup made;
        made.routers = 1;
        made.memory_mb = vm_memory_mb;
        made.router_settings =
            "[traffic]\nmax_header_bytes = 8192\nmax_body_bytes = " +
            std::to_string(max_body_bytes) + "\n" + traffic;
        return made;
    }

    fleet nodes;
    int asked = 0;
};

void check_endless_trailers(deployment& tested)
{
    {
        raw_caller caller(tested.address());
        const std::string line = "X-Trailer: " + std::string(52, 'x') + "\r\n";
        caller.send(tested.chunked_head() + chunk_of("x") + "0\r\n") &&
            caller.send_repeated(line, endless_bytes / line.size());
        tested.check();
    }
    tested.check();
}

void check_endless_chunk_extension(deployment& tested)
{
    {
        raw_caller caller(tested.address());
        caller.send(tested.chunked_head() + chunk_of("x") + "1;x=") &&
            caller.send_repeated("x", endless_bytes);
        tested.check();
    }
    tested.check();
}

/// Sends chunked bodies that stop just short of their end, and leaves them
/// open.
void check_unfinished_bodies(deployment& tested, std::size_t chunk_bytes)
{
    {
        caller_crowd crowd(tested.address(), caller_count);
        crowd.each(
            [&](raw_caller& caller)
            {
                caller.send(tested.chunked_head()) &&
                    send_chunks(caller, max_body_bytes - 1, chunk_bytes);
            });
        tested.check();
    }
    tested.check();
}

void check_announced_bodies(deployment& tested)
{
    {
        caller_crowd crowd(tested.address(), caller_count);
        crowd.each(
            [&](raw_caller& caller)
            {
                caller.send(
                    tested.head() + "Content-Length: 1000000000000\r\n\r\n") &&
                    caller.send_repeated("x", max_body_bytes + excess_bytes);
            });
        tested.check();
    }
    tested.check();
}

void check_bodies_just_sent(deployment& tested)
{
    {
        caller_crowd crowd(tested.address(), caller_count);
        // All are at the limit before one exceeds it.
        crowd.each(
            [&](raw_caller& caller)
            {
                caller.send(tested.chunked_head()) &&
                    send_chunks(caller, max_body_bytes, large_chunk_bytes);
            });
        tested.settle();
        crowd.each(
            [&](raw_caller& caller)
            {
                send_chunks(caller, excess_bytes, large_chunk_bytes);
            });
        tested.check();
    }
    tested.check();
}

/// All connections are taken by callers who send these bytes and wait.
void check_places(
    deployment& tested, std::size_t places, std::string_view bytes)
{
    {
        caller_crowd crowd(tested.address(), places + crowd_beyond_places);
        crowd.each(
            [&](raw_caller& caller)
            {
                caller.send(bytes);
            });
        tested.settle();
        cr_expect(
            eventually(
                [&]
                {
                    return tested.ask() == 200;
                }),
            "no ordinary request is served");
        const process_usage usage = usage_of(tested.process().pid());
        cr_expect_leq(usage.descriptors, places + other_descriptors);
    }
    cr_assert(tested.process().running());
    cr_expect(eventually(
        [&]
        {
            return tested.ask() == 200;
        }));
}

/// Many connections to a listener for probes are left open.
void check_probe_connections(bool readiness)
{
    gateway_deployment tested;
    const std::string address =
        readiness ? tested.readiness_address() : tested.metrics_address();
    const std::string target = readiness ? "/ready" : "/metrics";
    {
        const caller_crowd crowd(address, caller_count);
        cr_expect(
            eventually(
                [&]
                {
                    return send(address, {.target = target}).status == 200;
                }),
            "a probe isn't answered");
        const process_usage usage = usage_of(tested.process().pid());
        cr_expect_leq(
            usage.descriptors,
            probe_places + other_descriptors,
            "%lu descriptors are open",
            usage.descriptors);
        tested.check();
    }
    tested.check();
}

/// Callers go on sending while a server works on their request.
void check_bytes_after_requests()
{
    gateway_deployment tested;
    {
        caller_crowd crowd(
            tested.address(), gateway_places - crowd_beyond_places);
        crowd.each(
            [&](raw_caller& caller)
            {
                caller.send("POST /a/slow HTTP/1.1\r\nHost: a.example\r\n"
                            "Deadline-Ms: 20000\r\nContent-Length: 1\r\n\r\nx");
            });
        tested.settle();
        crowd.each(
            [&](raw_caller& caller)
            {
                caller.fill(std::string(large_chunk_bytes, 'x'), excess_bytes);
            });
        constexpr std::uint64_t bytes_per_kib = 1024;
        constexpr std::uint64_t kib_per_mb = 1000;
        const std::uint64_t unread_kib =
            unread_bytes(tested.address()) / bytes_per_kib;
        const process_usage usage = usage_of(tested.process().pid());
        cr_expect_leq(
            unread_kib + usage.peak_kib,
            vm_memory_mb * kib_per_mb,
            "%lu KiB are resident at the peak, %lu KiB unread",
            usage.peak_kib,
            unread_kib);
        cr_expect_eq(tested.ask(), 200U, "an ordinary request isn't served");
        tested.answer_slow();
    }
    tested.check();
}

} // namespace

Test(gateway_misbehaving_callers, trailers_without_end)
{
    gateway_deployment tested;
    check_endless_trailers(tested);
}

Test(gateway_misbehaving_callers, a_chunk_extension_without_end)
{
    gateway_deployment tested;
    check_endless_chunk_extension(tested);
}

Test(gateway_misbehaving_callers, unfinished_bodies_in_large_chunks)
{
    gateway_deployment tested;
    check_unfinished_bodies(tested, large_chunk_bytes);
}

Test(gateway_misbehaving_callers, unfinished_bodies_in_chunks_of_one_byte)
{
    gateway_deployment tested;
    check_unfinished_bodies(tested, 1);
}

Test(gateway_misbehaving_callers, bodies_over_the_limit_that_were_announced)
{
    gateway_deployment tested;
    check_announced_bodies(tested);
}

Test(gateway_misbehaving_callers, bodies_over_the_limit_that_were_just_sent)
{
    gateway_deployment tested;
    check_bodies_just_sent(tested);
}

Test(router_misbehaving_callers, trailers_without_end)
{
    router_deployment tested;
    check_endless_trailers(tested);
}

Test(router_misbehaving_callers, a_chunk_extension_without_end)
{
    router_deployment tested;
    check_endless_chunk_extension(tested);
}

Test(router_misbehaving_callers, unfinished_bodies_in_large_chunks)
{
    router_deployment tested;
    check_unfinished_bodies(tested, large_chunk_bytes);
}

Test(router_misbehaving_callers, unfinished_bodies_in_chunks_of_one_byte)
{
    router_deployment tested;
    check_unfinished_bodies(tested, 1);
}

Test(router_misbehaving_callers, bodies_over_the_limit_that_were_announced)
{
    router_deployment tested;
    check_announced_bodies(tested);
}

Test(router_misbehaving_callers, bodies_over_the_limit_that_were_just_sent)
{
    router_deployment tested;
    check_bodies_just_sent(tested);
}

Test(gateway_misbehaving_callers, connections_left_idle)
{
    gateway_deployment tested(long_time_limits);
    check_places(tested, gateway_places, {});
}

Test(gateway_misbehaving_callers, heads_left_unfinished)
{
    gateway_deployment tested(long_time_limits);
    check_places(tested, gateway_places, "POST /a/x HTTP/1.1\r\nHost: a");
}

Test(router_misbehaving_callers, connections_left_idle)
{
    router_deployment tested(
        "max_connections = " + std::to_string(router_places) +
        "\ncaller_idle_ms = 600000\n");
    check_places(tested, router_places, {});
}

Test(gateway_misbehaving_callers, connections_to_the_readiness_address)
{
    check_probe_connections(true);
}

Test(gateway_misbehaving_callers, connections_to_the_metrics_address)
{
    check_probe_connections(false);
}

Test(gateway_misbehaving_callers, bytes_after_a_whole_request)
{
    check_bytes_after_requests();
}

/// The grace period ends before such bodies would.
Test(gateway_misbehaving_callers, shutdown_while_bodies_are_unfinished)
{
    gateway_deployment tested;
    caller_crowd crowd(tested.address(), caller_count);
    crowd.each(
        [&](raw_caller& caller)
        {
            caller.send(tested.chunked_head()) &&
                send_chunks(caller, ordinary_body_bytes, ordinary_body_bytes);
        });
    tested.check();
    const std::optional<int> code = tested.process().terminate();
    cr_assert(code.has_value(), "the process doesn't end");
    cr_expect_eq(*code, 0);
}
