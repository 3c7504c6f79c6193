#include "tools/common/trail.hpp"

#include <roseworks/names.hpp>

#include <array>
#include <cstdio>
#include <ctime>

namespace roseworks::tools
{

namespace
{

constexpr stamp_ms ms_per_second = 1000;

/// The author that a record names itself; empty when it names none.
std::string_view named_author(const record& value)
{
    if (const auto* change = std::get_if<config_change>(&value.payload))
    {
        return change->author;
    }
    if (const auto* unblock = std::get_if<request_unblock>(&value.payload))
    {
        return unblock->author;
    }
    if (const auto* key = std::get_if<operator_key_change>(&value.payload))
    {
        return key->author;
    }
    if (const auto* join = std::get_if<router_join>(&value.payload))
    {
        return join->name;
    }
    return {};
}

} // namespace

std::string_view kind_name(const history_entry& entry)
{
    return entry.value ? roseworks::kind_name(entry.value->payload)
                       : "unreadable";
}

std::string author_name(const fleet_state& state, const record& value)
{
    const std::string_view named = named_author(value);
    if (!named.empty())
    {
        return std::string(named);
    }
    const auto live = state.session(state.live_session(value.id.author));
    if (live)
    {
        return std::string(live->name);
    }
    return "author " + to_hex(value.id.author.value);
}

std::string to_utc(stamp_ms stamp)
{
    const auto seconds = static_cast<std::time_t>(stamp / ms_per_second);
    std::tm parts{};
    if (stamp < 0 || gmtime_r(&seconds, &parts) == nullptr)
    {
        return std::to_string(stamp);
    }
    std::array<char, 32> text{};
    const std::size_t size =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(
        fraction.data(),
        fraction.size(),
        ".%03dZ",
        static_cast<int>(stamp % ms_per_second));
    return std::string(text.data(), size) + fraction.data();
}

std::string to_hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(
        text.data(),
        text.size(),
        "%016llx",
        static_cast<unsigned long long>(value));
    return text.data();
}

std::string to_hex(const claim_key& key)
{
    return to_hex(key.high) + to_hex(key.low);
}

std::string servable_name(const fleet_state& state, servable_id id)
{
    const auto view = state.servable(id);
    return view ? std::string(view->name)
                : "servable " + std::to_string(id.value);
}

std::string engine_name(const fleet_state& state, engine_id id)
{
    const auto view = state.engine(id);
    return view ? std::string(view->name)
                : "engine " + std::to_string(id.value);
}

std::string session_name(const fleet_state& state, session_id id)
{
    const auto view = state.session(id);
    const std::string number = std::to_string(id.value);
    return view ? std::string(view->name) + '/' + number : "session " + number;
}

} // namespace roseworks::tools
