#include "adapters/settings/write_reference.hpp"

#include "adapters/settings/settings_table.hpp"
#include "adapters/settings/value_parser.hpp"

#include <ostream>

namespace roseworks::settings
{

namespace
{

constexpr std::string_view introduction = R"(# Settings of the router

<!-- Generated: `settings-reference > docs/SETTINGS.md`. -->

`roseworks-router` reads one INI file. If the file has problems, the process
lists each one with file, line, section, key and the allowed values, and does
not start. Unknown and duplicate keys and sections are problems. Addresses are
IP addresses with a port; host names are not resolved. A comment must be on a
line of its own and begins with `;` or `#`. The file is read once, at startup;
configuration that may change while routers run is in the published records.

The smallest valid file:

```ini
[router]
name = hall-a-r1
data_centre = hall-a
listen = 127.0.0.1:8080

[peers]
listen = 127.0.0.1:7000

[log]
address = 127.0.0.1:9000
```
)";

std::string_view kind_name(value_kind kind)
{
    switch (kind)
    {
    case value_kind::name:
        return "name";
    case value_kind::path:
        return "path";
    case value_kind::address:
        return "address";
    case value_kind::address_list:
        return "addresses";
    case value_kind::integer:
        return "integer";
    case value_kind::word:
        return "word";
    }
    return "";
}

std::string describe_default(const setting_row& row)
{
    if (!row.default_value)
        return "required";
    if (row.default_value->empty())
        return "unset";
    return '`' + std::string(*row.default_value) + '`';
}

void write_row(std::ostream& out, const setting_row& row)
{
    out << "| `" << row.key << "` | " << kind_name(row.kind) << " | "
        << describe_default(row) << " | " << describe_allowed(row) << " | "
        << row.text << " |\n";
}

void write_section(std::ostream& out, const section_row& section)
{
    out << "\n## [" << section.name << "]\n\n"
        << section.text << "\n\n"
        << "| key | type | default | allowed | what it does |\n"
        << "|---|---|---|---|---|\n";
    for (const setting_row& row : setting_rows())
    {
        if (row.section == section.name)
            write_row(out, row);
    }
    bool first = true;
    for (const setting_rule& rule : setting_rules())
    {
        if (rule.section != section.name)
            continue;
        out << (first ? "\n" : "") << "- Checked: " << rule.text << ".\n";
        first = false;
    }
}

} // namespace

void write_reference(std::ostream& out)
{
    out << introduction;
    for (const section_row& section : setting_sections())
        write_section(out, section);
}

} // namespace roseworks::settings
