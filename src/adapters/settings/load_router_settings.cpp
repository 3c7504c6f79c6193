#include "adapters/settings/load_router_settings.hpp"

#include "adapters/settings/ini_reader.hpp"
#include "adapters/settings/settings_table.hpp"
#include "adapters/settings/value_parser.hpp"

#include <algorithm>
#include <fstream>
#include <functional>
#include <istream>
#include <limits>
#include <map>
#include <string>
#include <utility>

namespace roseworks::settings
{

namespace
{

constexpr std::size_t largest_file = 1 << 20;

/// Checks an INI text against the table and fills the settings.
class settings_checker
{
public:
    settings_checker(std::string_view file_name, ini_text text)
        : file(file_name)
        , ini(std::move(text))
        , problems(std::move(this->ini.problems))
    {
    }

    boost::leaf::result<router_settings> check()
    {
        this->check_sections();
        for (const ini_entry& entry : this->ini.entries)
            this->check_entry(entry);
        this->fill_absent();
        this->check_rules();
        if (this->problems.empty())
            return std::move(this->settings);

        std::ranges::stable_sort(
            this->problems, std::ranges::less(), &line_order);
        return boost::leaf::new_error(
            settings_problems{std::move(this->problems)});
    }

private:
    /// How a key of the table was met in the file.
    struct occurrence
    {
        int line;
        bool valid;
    };

    static int line_order(const settings_problem& problem)
    {
        return problem.line > 0 ? problem.line
                                : std::numeric_limits<int>::max();
    }

    void report(
        int line,
        std::string_view section,
        std::string_view key,
        std::string reason,
        std::string allowed = {})
    {
        this->problems.push_back(
            {this->file,
             line,
             std::string(section),
             std::string(key),
             std::move(reason),
             std::move(allowed)});
    }

    void check_sections()
    {
        std::map<std::string_view, int> first_lines;
        for (const ini_section& each : this->ini.sections)
        {
            const auto [first, added] =
                first_lines.emplace(each.name, each.line);
            if (!added)
            {
                this->report(
                    each.line, each.name, "", seen_before(first->second));
            }
            else if (!is_section(each.name))
            {
                this->report(
                    each.line,
                    each.name,
                    "",
                    "unknown section",
                    known_sections());
            }
        }
    }

    void check_entry(const ini_entry& entry)
    {
        if (entry.section.empty())
        {
            this->report(entry.line, "", entry.key, "key outside of a section");
            return;
        }
        // The section's own line has been reported.
        if (!is_section(entry.section))
            return;
        const setting_row* const row = find_row(entry.section, entry.key);
        if (!row)
        {
            this->report(
                entry.line,
                entry.section,
                entry.key,
                "unknown key",
                known_keys(entry.section));
            return;
        }
        this->check_row(*row, entry);
    }

    void check_row(const setting_row& row, const ini_entry& entry)
    {
        const auto [seen, added] =
            this->occurrences.emplace(&row, occurrence{entry.line, true});
        if (!added)
        {
            seen->second.valid = false;
            this->report(
                entry.line,
                entry.section,
                entry.key,
                seen_before(seen->second.line));
        }
        if (entry.value.empty() && row.may_be_empty())
            return;

        auto parsed = parse_value(row, entry.value);
        if (parsed.value)
        {
            row.store(this->settings, *parsed.value);
            return;
        }
        seen->second.valid = false;
        this->report(
            entry.line,
            entry.section,
            entry.key,
            std::move(parsed.reason),
            describe_allowed(row));
    }

    void fill_absent()
    {
        for (const setting_row& row : setting_rows())
        {
            if (this->occurrences.contains(&row) || row.may_be_empty())
                continue;
            if (!row.fallback)
            {
                this->report(
                    0,
                    row.section,
                    row.key,
                    "required key is missing",
                    describe_allowed(row));
                continue;
            }
            const auto parsed = parse_value(row, *row.fallback);
            row.store(this->settings, parsed.value.value());
        }
    }

    void check_rules()
    {
        for (const setting_rule& rule : setting_rules())
        {
            if (!this->are_valid(rule) || rule.holds(this->settings))
                continue;
            const auto [key, line] = this->blamed(rule);
            this->report(
                line,
                rule.section,
                key,
                "does not go with the other keys",
                std::string(rule.text));
        }
    }

    bool are_valid(const setting_rule& rule) const
    {
        return std::ranges::all_of(
            rule.keys,
            [this, &rule](std::string_view key)
            {
                const auto* const row = find_row(rule.section, key);
                const auto seen = this->occurrences.find(row);
                return seen == this->occurrences.end() || seen->second.valid;
            });
    }

    struct blamed_key
    {
        std::string_view key;
        int line;
    };

    /// The rule's first key that the file has, or else its first key.
    blamed_key blamed(const setting_rule& rule) const
    {
        for (const std::string_view key : rule.keys)
        {
            const auto* const row = find_row(rule.section, key);
            const auto seen = this->occurrences.find(row);
            if (seen != this->occurrences.end())
                return {key, seen->second.line};
        }
        return {rule.keys[0], 0};
    }

    static std::string seen_before(int line)
    {
        return "duplicate, first on line " + std::to_string(line);
    }

    static std::string known_sections()
    {
        std::string names;
        for (const section_row& each : setting_sections())
            append_name(names, each.name);
        return names;
    }

    static std::string known_keys(std::string_view section)
    {
        std::string names;
        for (const setting_row& row : setting_rows())
        {
            if (row.section == section)
                append_name(names, row.key);
        }
        return names;
    }

    static void append_name(std::string& names, std::string_view name)
    {
        if (!names.empty())
            names += ", ";
        names += name;
    }

    std::string file;
    ini_text ini;
    std::vector<settings_problem> problems;
    std::map<const setting_row*, occurrence> occurrences;
    router_settings settings;
};

boost::leaf::error_id refuse_file(std::string_view name, std::string reason)
{
    return boost::leaf::new_error(settings_problems{
        {{std::string(name), 0, "", "", std::move(reason), ""}}});
}

} // namespace

boost::leaf::result<router_settings>
load_router_settings(std::istream& in, std::string_view name)
{
    std::string text(largest_file + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad())
        return refuse_file(name, "cannot be read");
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > largest_file)
    {
        return refuse_file(
            name, "larger than " + std::to_string(largest_file) + " bytes");
    }
    return settings_checker(name, read_ini(text, name)).check();
}

boost::leaf::result<router_settings> load_router_settings(std::string_view path)
{
    std::ifstream in{std::string(path)};
    if (!in)
        return refuse_file(path, "cannot be opened");
    return load_router_settings(in, path);
}

} // namespace roseworks::settings
