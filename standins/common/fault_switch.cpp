#include "standins/common/fault_switch.hpp"

#include "standins/common/exchange.hpp"
#include "standins/common/json_fields.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace roseworks::standins
{

namespace
{

constexpr std::array<std::pair<std::string_view, fault>, 6> fault_names{{
    {"up", fault::up},
    {"down", fault::down},
    {"slow", fault::slow},
    {"hang", fault::hang},
    {"lose_answers", fault::lose_answers},
    {"crash_on", fault::crash_on},
}};

fault parse_fault(std::string_view name)
{
    for (const auto& [text, value] : fault_names)
    {
        if (text == name)
        {
            return value;
        }
    }
    throw bad_request("unknown mode " + std::string(name));
}

} // namespace

fault_switch::fault_switch(std::initializer_list<fault> offered)
    : allowed(offered)
{
}

void fault_switch::apply(const boost::json::object& command)
{
    if (!command.contains("mode"))
    {
        return;
    }
    const fault wanted = parse_fault(string_field(command, "mode"));
    const std::uint64_t delay_ms = number_field(command, "delay_ms");
    if (std::find(this->allowed.begin(), this->allowed.end(), wanted) ==
        this->allowed.end())
    {
        throw bad_request("this stand-in does not offer the mode");
    }
    this->current = wanted;
    this->delay = std::chrono::milliseconds(delay_ms);
    this->changed.notify_all();
}

bool fault_switch::is(fault value) const
{
    return this->current == value;
}

boost::asio::awaitable<void> fault_switch::pass()
{
    while (this->current == fault::hang)
    {
        co_await this->changed.wait();
    }
}

boost::asio::awaitable<void> fault_switch::delay_answer()
{
    if (this->current == fault::slow)
    {
        co_await sleep_for(this->delay);
    }
}

} // namespace roseworks::standins
