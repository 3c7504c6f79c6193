#include "tools/lines/log_line.hpp"

#include <boost/json/parse.hpp>

#include <cmath>
#include <utility>

namespace roseworks::tools
{

namespace json = boost::json;

namespace
{

const json::string* text_in(const json::object& object, std::string_view name)
{
    const json::value* const found = object.if_contains(name);
    return found == nullptr ? nullptr : found->if_string();
}

std::string string_of(const json::string& text)
{
    return {text.data(), text.size()};
}

} // namespace

std::string_view log_line::text(std::string_view field) const
{
    const json::string* const found = text_in(this->fields, field);
    return found == nullptr ? std::string_view()
                            : std::string_view(found->data(), found->size());
}

std::int64_t log_line::number(std::string_view field) const
{
    const json::value* const found = this->fields.if_contains(field);
    if (found == nullptr)
        return 0;
    const std::int64_t* const whole = found->if_int64();
    return whole == nullptr ? 0 : *whole;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    constexpr double ms_in_s = 1000;
    const std::size_t start = text.find('{');
    if (start == std::string_view::npos)
        return std::nullopt;
    json::error_code error;
    json::value whole = json::parse(text.substr(start), error);
    if (error || !whole.is_object())
        return std::nullopt;
    json::object& event = whole.get_object();
    const json::value* const time = event.if_contains("time");
    const json::string* const vm = text_in(event, "vm");
    const json::string* const name = text_in(event, "name");
    if (time == nullptr || !time->is_double() || vm == nullptr ||
        name == nullptr)
        return std::nullopt;
    log_line line;
    line.at_ms = std::llround(time->get_double() * ms_in_s);
    line.vm = string_of(*vm);
    line.name = string_of(*name);
    if (json::value* const fields = event.if_contains("fields"))
    {
        if (fields->is_object())
            line.fields = std::move(fields->get_object());
    }
    return line;
}

} // namespace roseworks::tools
