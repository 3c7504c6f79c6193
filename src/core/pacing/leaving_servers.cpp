#include "core/pacing/leaving_servers.hpp"

#include "ports/hex_text.hpp"

#include <charconv>
#include <utility>

namespace roseworks
{

namespace
{

/// Can't be the beginning of a server's id, which has no control characters.
constexpr std::string_view key_prefix = "\x01"
                                        "leaving ";
constexpr std::size_t life_digits = 16;

/// Value of an entry of a server that leaves.
constexpr double present = 1;

/// What another router reports holds for so long. A server ends some seconds
/// after it has announced it; meanwhile other routers don't hear from it.
constexpr duration report_lifetime = std::chrono::seconds(30);

server_limits::options report_options(std::string router)
{
    server_limits::options made;
    made.router = std::move(router);
    made.limit_retention = report_lifetime;
    return made;
}

/// The life comes first, since it has a fixed length.
std::string key_of(std::string_view server, server_life life)
{
    return std::string(key_prefix) + to_hex(life.value) + std::string(server);
}

struct reported_server
{
    std::string_view server;
    server_life life;
};

std::optional<reported_server> parse_key(std::string_view key)
{
    constexpr int hexadecimal = 16;
    key.remove_prefix(key_prefix.size());
    if (key.size() <= life_digits)
        return std::nullopt;
    std::uint64_t life = 0;
    const char* const end = key.data() + life_digits;
    const auto [stop, error] =
        std::from_chars(key.data(), end, life, hexadecimal);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return reported_server{key.substr(life_digits), server_life(life)};
}

} // namespace

bool is_leaving_server_key(std::string_view key)
{
    return key.starts_with(key_prefix);
}

leaving_servers::leaving_servers(std::string router)
    : reports(report_options(std::move(router)))
{
}

bool leaving_servers::is_stated(std::string_view server, server_life life) const
{
    const auto found = this->stated.find(server);
    return found != this->stated.end() && found->second == life;
}

void leaving_servers::handle_answer(
    std::string_view server,
    server_life life,
    bool leaving,
    instant sent,
    instant now)
{
    const std::string key = key_of(server, life);
    // Answers to requests that were sent before may come without the statement.
    if (!leaving && !this->is_stated(server, life))
        this->reports.handle_answer(key, std::nullopt, sent, now);
    if (leaving && !this->is_stated(server, life))
    {
        this->stated.insert_or_assign(std::string(server), life);
        this->reports.handle_answer(key, present, sent, now);
        this->changes.push_back({std::string(server), life, true, true});
    }
    this->take_report_changes();
}

void leaving_servers::handle_replacement(
    std::string_view server, server_life life, instant now)
{
    if (!this->is_stated(server, life))
        this->reports.handle_answer(key_of(server, life), present, now, now);
    this->take_report_changes();
}

void leaving_servers::handle_update(
    const server_limit_update& update, instant now)
{
    this->reports.handle_update(update, now);
    this->take_report_changes();
}

void leaving_servers::restarted(std::string_view server, server_life life)
{
    for (const server_limit& one : this->reports.in_force())
    {
        const auto reported = parse_key(one.server);
        if (reported && reported->server == server && reported->life != life)
            this->reports.remove(one.server);
    }
    this->take_report_changes();
    const auto found = this->stated.find(server);
    if (found != this->stated.end() && found->second != life)
        this->forget(server);
}

void leaving_servers::forget(std::string_view server)
{
    const auto found = this->stated.find(server);
    if (found == this->stated.end())
        return;
    this->changes.push_back({found->first, found->second, false, true});
    this->stated.erase(found);
}

void leaving_servers::tick(instant now)
{
    this->reports.tick(now);
    this->take_report_changes();
}

void leaving_servers::take_report_changes()
{
    for (const server_limit& one : this->reports.take_changes())
    {
        const auto reported = parse_key(one.server);
        if (reported && !this->is_stated(reported->server, reported->life))
            this->changes.push_back(
                {std::string(reported->server),
                 reported->life,
                 one.per_second > 0,
                 false});
    }
}

bool leaving_servers::contains(std::string_view server) const
{
    const auto all = this->all();
    return all.find(server) != all.end();
}

std::map<std::string, server_life, std::less<>> leaving_servers::all() const
{
    auto known = this->stated;
    for (const server_limit& one : this->reports.in_force())
    {
        if (const auto reported = parse_key(one.server))
            known.try_emplace(std::string(reported->server), reported->life);
    }
    return known;
}

std::vector<leaving_servers::change> leaving_servers::take_changes()
{
    return std::exchange(this->changes, {});
}

} // namespace roseworks
