#include "app/crash_witness.hpp"
#include "tests/unit/app/fake_platform.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

std::string address_of(const tcp::acceptor& server)
{
    return "127.0.0.1:" + std::to_string(server.local_endpoint().port());
}

crash_seen crash_at(const std::string& address, engine_id engine = {})
{
    return {fingerprint(7), engine, address};
}

/// What is found at an engine that takes connections and says that it is
/// `now`, and said before that it was `before`; 0: it was never seen.
crash_finding found_at_engine(std::uint64_t before, std::uint64_t now = 1)
{
    asio::io_context context;
    tcp::acceptor server(context, {asio::ip::address_v4::loopback(), 0});
    testing::fake_engines engines;
    std::vector<crash_finding> found;
    crash_witness witness(
        context.get_executor(),
        engines,
        [&](const crash_seen&, crash_finding finding)
        {
            found.push_back(finding);
        });
    if (before != 0)
        witness.engine_seen(engine_id(3), before);
    witness.examine(crash_at(address_of(server), engine_id(3)));
    context.run();
    cr_assert_eq(engines.reads.size(), 1);
    engines.answer_reads(now);
    cr_assert_eq(found.size(), 1);
    return found[0];
}

} // namespace

Test(crash_witness, a_refused_connection_is_a_crash)
{
    asio::io_context context;
    tcp::acceptor server(context, {asio::ip::address_v4::loopback(), 0});
    const std::string address = address_of(server);
    server.close();
    testing::fake_engines engines;
    std::vector<crash_finding> told;
    crash_witness witness(
        context.get_executor(),
        engines,
        [&](const crash_seen&, crash_finding finding)
        {
            told.push_back(finding);
        });
    witness.examine(crash_at(address));
    context.run();
    cr_assert_eq(told.size(), 1);
    cr_assert(told[0] == crash_finding::crashed);
}

Test(crash_witness, a_service_that_takes_connections_has_not_crashed)
{
    asio::io_context context;
    tcp::acceptor server(context, {asio::ip::address_v4::loopback(), 0});
    testing::fake_engines engines;
    std::vector<crash_finding> told;
    crash_witness witness(
        context.get_executor(),
        engines,
        [&](const crash_seen&, crash_finding finding)
        {
            told.push_back(finding);
        });
    witness.examine(crash_at(address_of(server)));
    context.run();
    cr_assert_eq(told.size(), 1);
    cr_assert(told[0] == crash_finding::survived);
}

Test(crash_witness, an_engine_under_its_old_incarnation_has_survived)
{
    cr_assert(found_at_engine(4, 4) == crash_finding::survived);
}

Test(crash_witness, an_engine_under_a_new_incarnation_crashed)
{
    cr_assert(found_at_engine(4, 5) == crash_finding::crashed);
}

Test(crash_witness, an_engine_never_seen_before_tells_nothing)
{
    cr_assert(found_at_engine(0) == crash_finding::unknown);
}
