#include "tools/lines/request_story.hpp"

#include <algorithm>
#include <ostream>
#include <utility>

namespace roseworks::tools
{

namespace
{

/// Before a request came: a load that it waits for may be under way.
constexpr std::int64_t before_ms = 20'000;
/// After its end: the registry drops a server that crashed some seconds later.
constexpr std::int64_t after_ms = 5'000;

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text += part;
    return text;
}

std::string end_words(const log_line& line)
{
    return joined(
        {"the request ended: ",
         line.text("end"),
         ", status ",
         std::to_string(line.number("status")),
         ", reason ",
         line.text("reason"),
         "; it waited ",
         std::to_string(line.number("wait_ms")),
         " ms, was sent ",
         std::to_string(line.number("sends")),
         " times, last to ",
         line.text("server").empty() ? "nobody" : line.text("server"),
         ", and took ",
         std::to_string(line.number("total_ms")),
         " ms of an objective of ",
         std::to_string(line.number("objective_ms")),
         " ms"});
}

std::string words_of(const log_line& line)
{
    if (line.name == "engine_ordered")
        return joined(
            {"engine ",
             line.text("engine"),
             " was told to ",
             line.text("action"),
             " ",
             line.text("model"),
             line.text("action") == "load" ? " from " : "",
             line.text("action") == "load" ? line.text("source") : ""});
    if (line.name == "engine_order_ended")
        return joined(
            {"engine ",
             line.text("engine"),
             " answered the order to ",
             line.text("action"),
             " ",
             line.text("model"),
             ": ",
             line.text("outcome")});
    if (line.name == "server_gone")
        return joined({"server ", line.text("server"), " left the registry"});
    if (line.name == "engine_unreached")
        return joined(
            {"engine ", line.text("engine"), " could not be reached"});
    if (line.name == "servers_cut_off")
        return "reaches most servers only through other routers";
    if (line.name == "servers_reached")
        return "reaches most servers directly again";
    if (line.name == "placement_owned")
        return "took placement over";
    if (line.name == "placement_given_up")
        return joined({"gave placement up: ", line.text("reason")});
    return line.name;
}

std::string_view model_in(const log_line& line)
{
    const std::string_view servable = line.text("servable");
    return servable.substr(0, servable.find('/'));
}

} // namespace

request_story::request_story(std::string request_id)
    : id(std::move(request_id))
{
}

void request_story::learn(const log_line& line)
{
    this->fleet.take(line);
    const bool is_end =
        line.name == "request_served" || line.name == "request_ended";
    if (is_end && line.text("request_id") == this->id)
        this->ends.push_back(line);
}

std::int64_t request_story::from_ms() const
{
    const auto came = [](const log_line& line)
    {
        return line.at_ms - line.number("total_ms");
    };
    return std::ranges::min(this->ends, {}, came).at_ms -
           std::ranges::min(this->ends, {}, came).number("total_ms") -
           before_ms;
}

std::int64_t request_story::to_ms() const
{
    return std::ranges::max(this->ends, {}, &log_line::at_ms).at_ms + after_ms;
}

bool request_story::is_about(const log_line& line) const
{
    const bool is_placement =
        line.name == "placement_owned" || line.name == "placement_given_up";
    const bool is_reach =
        line.name == "servers_cut_off" || line.name == "servers_reached";
    const bool is_order =
        line.name == "engine_ordered" || line.name == "engine_order_ended";
    return std::ranges::any_of(
        this->ends,
        [&](const log_line& end)
        {
            const std::string_view server = end.text("server");
            const bool of_server =
                !server.empty() && ((line.name == "server_gone" &&
                                     line.text("server") == server) ||
                                    (line.name == "engine_unreached" &&
                                     line.text("engine") == server));
            const bool of_model =
                is_order && line.text("model") == model_in(end);
            const bool of_router = is_reach && line.vm == end.vm;
            return is_placement || of_server || of_model || of_router;
        });
}

void request_story::take(const log_line& line)
{
    if (!this->found() || !this->is_about(line) || line.at_ms > this->to_ms())
        return;
    event told{line.at_ms, joined({line.vm, ": ", words_of(line)})};
    if (line.at_ms >= this->from_ms())
        this->events.push_back(std::move(told));
    else if (line.name == "placement_owned" && line.at_ms > this->owner.at_ms)
        this->owner = std::move(told);
}

void request_story::print(std::ostream& out) const
{
    if (!this->found())
    {
        out << "no line tells how request " << this->id << " ended\n";
        return;
    }
    std::vector<event> all = this->events;
    if (!this->owner.words.empty())
        all.push_back(this->owner);
    for (const log_line& end : this->ends)
    {
        all.push_back(
            {end.at_ms - end.number("total_ms"),
             joined(
                 {end.vm,
                  ": the request came, for ",
                  end.text("servable").empty() ? "a plain service"
                                               : end.text("servable")})});
        all.push_back({end.at_ms, joined({end.vm, ": ", end_words(end)})});
    }
    std::ranges::stable_sort(all, {}, &event::at_ms);
    const auto& first = this->ends.front();
    const std::int64_t came = first.at_ms - first.number("total_ms");
    for (const event& one : all)
        out << one.at_ms - came << " ms  " << one.words << '\n';
    for (const log_line& end : this->ends)
    {
        const auto loss = find_loss(end, this->fleet);
        out << "cause: "
            << (loss
                    ? joined(
                          {to_string(loss->kind), ", ", to_string(loss->cause)})
                    : std::string("none, it was in time"))
            << '\n';
    }
}

} // namespace roseworks::tools
