// Words of limits between the gateways, taken by an accountant, by a router's
// side and by what it knows of servers: whatever comes, a bucket holds a number
// that its limit allows, and a server's limit is a pace.

#include "adapters/peers/message_archive.hpp"
#include "core/pacing/server_limits.hpp"
#include "core/quota/quota_accountant.hpp"
#include "core/quota/quota_client.hpp"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <optional>
#include <string_view>

using namespace roseworks;

namespace
{

constexpr double burst = 1000;

/// Of a datagram.
constexpr std::size_t most_bytes = 65'536;

void check(bool holds)
{
    if (!holds)
        std::abort();
}

template <class Word>
std::optional<Word> decode(std::string_view bytes)
{
    try
    {
        message_archive archive(bytes);
        Word word;
        archive(word);
        return word;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

global_limits make_limits()
{
    deployment made;
    organisation one;
    one.name = "o1";
    one.limit = usage_limit{burst, burst};
    made.organisations = {one};
    return limits_of(made, quota_bounds());
}

void take_ask(const quota_query& ask, instant now)
{
    quota_accountant accountant("a", quota_bounds());
    accountant.set_limits(make_limits(), now);
    accountant.handle_query(ask, now);
    const quota_reply answer =
        accountant.handle_query(ask, now + std::chrono::milliseconds(100));
    check(answer.results.size() == ask.draws.size());
    const double level = accountant.accounts().at("o1").bucket.level();
    check(std::isfinite(level) && level <= burst);
}

void take_answer(const quota_reply& answer, instant now)
{
    quota_client client(quota_client::options{});
    client.set_limits(make_limits());
    client.set_accountants({"a", answer.accountant}, 2);
    client.tick(now);
    client.draw("o1", 1, duration::zero(), now);
    client.handle_reply(answer, now);
    check(client.take_decisions().size() <= 1);
}

void take_limits(const server_limit_update& word, instant now)
{
    server_limits known(server_limits::options{"r"});
    known.handle_answer("s", 2.0, now, now);
    known.handle_update(word, now);
    known.tick(now + std::chrono::milliseconds(200));
    for (const server_limit& one : known.in_force())
        check(std::isfinite(one.per_second) && one.per_second > 0);
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size > most_bytes)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const instant now(std::chrono::seconds(100));
    if (const auto ask = decode<quota_query>(bytes))
        take_ask(*ask, now);
    if (const auto answer = decode<quota_reply>(bytes))
        take_answer(*answer, now);
    if (const auto word = decode<server_limit_update>(bytes))
        take_limits(*word, now);
    return 0;
}
