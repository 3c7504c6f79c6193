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

constexpr std::size_t max_file_bytes = 1 << 20;

/// Checks an INI text against the settings table and fills in the settings.
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
        this->apply_defaults();
        this->check_rules();
        if (this->problems.empty())
            return std::move(this->settings);

        std::ranges::stable_sort(
            this->problems, std::ranges::less(), &line_order);
        return boost::leaf::new_error(
            settings_problems{std::move(this->problems)});
    }

private:
    /// Where a key of the table first occurs in the file, and whether all its
    /// occurrences are valid.
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
        for (const ini_section& section : this->ini.sections)
        {
            const auto [first, added] =
                first_lines.emplace(section.name, section.line);
            if (!added)
            {
                this->report(
                    section.line,
                    section.name,
                    "",
                    describe_duplicate(first->second));
            }
            else if (!is_section(section.name))
            {
                this->report(
                    section.line,
                    section.name,
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
            this->report(entry.line, "", entry.key, "key outside a section");
            return;
        }
        // The section's line has already been reported as a problem.
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
        const auto [found, added] =
            this->occurrences.emplace(&row, occurrence{entry.line, true});
        if (!added)
        {
            found->second.valid = false;
            this->report(
                entry.line,
                entry.section,
                entry.key,
                describe_duplicate(found->second.line));
        }
        if (entry.value.empty() && row.may_be_empty())
            return;

        auto parsed = parse_value(row, entry.value);
        if (parsed.value)
        {
            row.store(this->settings, *parsed.value);
            return;
        }
        found->second.valid = false;
        this->report(
            entry.line,
            entry.section,
            entry.key,
            std::move(parsed.reason),
            describe_allowed(row));
    }

    void apply_defaults()
    {
        for (const setting_row& row : setting_rows())
        {
            if (this->occurrences.contains(&row) || row.may_be_empty())
                continue;
            if (!row.default_value)
            {
                this->report(
                    0,
                    row.section,
                    row.key,
                    "required key is missing",
                    describe_allowed(row));
                continue;
            }
            const auto parsed = parse_value(row, *row.default_value);
            row.store(this->settings, parsed.value.value());
        }
    }

    void check_rules()
    {
        for (const setting_rule& rule : setting_rules())
        {
            if (!this->keys_are_valid(rule) || rule.holds(this->settings))
                continue;
            const auto [key, line] = this->locate_violation(rule);
            this->report(
                line,
                rule.section,
                key,
                "conflicts with the other keys",
                std::string(rule.text));
        }
    }

    bool keys_are_valid(const setting_rule& rule) const
    {
        return std::ranges::all_of(
            rule.keys,
            [this, &rule](std::string_view key)
            {
                const auto* const row = find_row(rule.section, key);
                const auto found = this->occurrences.find(row);
                return found == this->occurrences.end() || found->second.valid;
            });
    }

    struct key_location
    {
        std::string_view key;
        int line;
    };

    /// @return the rule's first key that occurs in the file; if none does, the
    ///         rule's first key with line 0.
    key_location locate_violation(const setting_rule& rule) const
    {
        for (const std::string_view key : rule.keys)
        {
            const auto* const row = find_row(rule.section, key);
            const auto found = this->occurrences.find(row);
            if (found != this->occurrences.end())
                return {key, found->second.line};
        }
        return {rule.keys[0], 0};
    }

    static std::string describe_duplicate(int line)
    {
        return "duplicate, first on line " + std::to_string(line);
    }

    static std::string known_sections()
    {
        std::string names;
        for (const section_row& section : setting_sections())
            append_name(names, section.name);
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

boost::leaf::error_id make_file_error(std::string_view name, std::string reason)
{
    return boost::leaf::new_error(settings_problems{
        {{std::string(name), 0, "", "", std::move(reason), ""}}});
}

} // namespace

boost::leaf::result<router_settings>
load_router_settings(std::istream& in, std::string_view name)
{
    std::string text(max_file_bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad())
        return make_file_error(name, "cannot be read");
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > max_file_bytes)
    {
        return make_file_error(
            name, "larger than " + std::to_string(max_file_bytes) + " bytes");
    }
    return settings_checker(name, read_ini(text, name)).check();
}

boost::leaf::result<router_settings> load_router_settings(std::string_view path)
{
    std::ifstream in{std::string(path)};
    if (!in)
        return make_file_error(path, "cannot be opened");
    return load_router_settings(in, path);
}

} // namespace roseworks::settings
