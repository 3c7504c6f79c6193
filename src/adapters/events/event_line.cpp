#include "adapters/events/event_line.hpp"

#include "adapters/events/event_catalogue.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <functional>

namespace roseworks::events
{

namespace
{

constexpr std::size_t longest_value = 512;
constexpr std::string_view cut_mark = "...";
constexpr std::string_view uncatalogued = "uncatalogued";

bool is_ascii(char letter)
{
    return static_cast<unsigned char>(letter) < 0x80;
}

bool is_continuation(char letter)
{
    return (static_cast<unsigned char>(letter) & 0xC0) == 0x80;
}

/// Cuts before a character of UTF-8, not inside it.
std::string cut(std::string_view text)
{
    if (text.size() <= longest_value)
        return std::string(text);
    std::size_t size = longest_value;
    while (size > 0 && is_continuation(text[size]))
        --size;
    return std::string(text.substr(0, size)) += cut_mark;
}

/// @return the text in quotes, as JSON; bytes that are not UTF-8 become `?`.
std::string quote(std::string_view value)
{
    constexpr char deleted = 0x7f;
    std::string text = cut(value);
    std::ranges::replace(text, deleted, '?');
    std::string quoted = boost::json::serialize(boost::json::string_view(text));
    if (std::ranges::all_of(quoted, is_ascii))
        return quoted;

    boost::json::error_code error;
    boost::json::parse(quoted, error);
    if (error)
        std::ranges::replace_if(quoted, std::not_fn(is_ascii), '?');
    return quoted;
}

bool is_plain(char letter)
{
    return letter > ' ' && letter < 0x7f && letter != '"' && letter != '=' &&
           letter != '\\';
}

std::string format_text(std::string_view value)
{
    const bool plain = !value.empty() && value.size() <= longest_value &&
                       std::ranges::all_of(value, is_plain);
    return plain ? std::string(value) : quote(value);
}

std::string format_value(line_format format, const event_field& field)
{
    if (const auto* const number = std::get_if<std::int64_t>(&field.value))
        return std::to_string(*number);
    const auto text = std::get<std::string_view>(field.value);
    return format == line_format::text ? format_text(text) : quote(text);
}

std::string code_of(event_id id)
{
    return "RW" + std::to_string(static_cast<unsigned>(id));
}

std::string_view name_of(event_id id)
{
    const event_entry* const entry = find_entry(id);
    return entry ? entry->name : uncatalogued;
}

std::string_view text_of(event_id id)
{
    const event_entry* const entry = find_entry(id);
    return entry ? entry->text : std::string_view();
}

std::string format_plain(std::string_view vm, const event_record& record)
{
    std::string line = format_text(vm);
    line += ' ' + code_of(record.id) + ' ';
    line += name_of(record.id);
    for (const event_field& field : record.fields)
    {
        line += ' ';
        line += field.name;
        line += '=' + format_value(line_format::text, field);
    }
    return line;
}

std::string format_json(std::string_view vm, const event_record& record)
{
    std::string line = "\"level\":" + quote(to_string(level_of(record.id)));
    line += ",\"vm\":" + quote(vm);
    line += ",\"event\":" + quote(code_of(record.id));
    line += ",\"name\":" + quote(name_of(record.id));
    line += ",\"text\":" + quote(text_of(record.id));
    line += ",\"fields\":{";
    bool first = true;
    for (const event_field& field : record.fields)
    {
        line += first ? "" : ",";
        line += quote(field.name) + ':';
        line += format_value(line_format::json, field);
        first = false;
    }
    return line + '}';
}

} // namespace

std::string format_event(
    line_format format, std::string_view vm, const event_record& record)
{
    return format == line_format::text ? format_plain(vm, record)
                                       : format_json(vm, record);
}

event_level level_of(event_id id)
{
    const event_entry* const entry = find_entry(id);
    return entry ? entry->level : event_level::error;
}

} // namespace roseworks::events
