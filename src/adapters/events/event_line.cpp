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

constexpr std::size_t max_value_bytes = 512;
constexpr std::string_view ellipsis = "...";
constexpr std::string_view uncatalogued = "uncatalogued";

bool is_ascii(char character)
{
    return static_cast<unsigned char>(character) < 0x80;
}

bool is_continuation(char character)
{
    return (static_cast<unsigned char>(character) & 0xC0) == 0x80;
}

/// Truncates a long value without splitting a UTF-8 character.
std::string truncate(std::string_view text)
{
    if (text.size() <= max_value_bytes)
        return std::string(text);
    std::size_t size = max_value_bytes;
    while (size > 0 && is_continuation(text[size]))
        --size;
    return std::string(text.substr(0, size)) += ellipsis;
}

/// @return the value as a quoted JSON string, truncated to `max_value_bytes`. A
///         DEL character becomes `?`, and so does every non-ASCII byte when the
///         text is not valid UTF-8.
std::string quote(std::string_view value)
{
    constexpr char deleted = 0x7f;
    std::string text = truncate(value);
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

bool needs_no_quotes(char character)
{
    return character > ' ' && character < 0x7f && character != '"' &&
           character != '=' && character != '\\';
}

std::string format_text(std::string_view value)
{
    const bool plain = !value.empty() && value.size() <= max_value_bytes &&
                       std::ranges::all_of(value, needs_no_quotes);
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
