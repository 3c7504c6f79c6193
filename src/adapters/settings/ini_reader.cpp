#include "adapters/settings/ini_reader.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <optional>
#include <sstream>
#include <utility>

namespace roseworks::settings
{

namespace
{

namespace property_tree = boost::property_tree;

/// Parses one line at a time into an `ini_text`.
class line_reader
{
public:
    line_reader(std::string_view file_name, ini_text& result)
        : file(file_name)
        , out(result)
    {
    }

    void read(const std::string& text)
    {
        ++this->line;
        const auto first = text.find_first_not_of(" \t\r");
        if (first != std::string::npos && text[first] == '[')
            this->read_section(text);
        else
            this->read_entry(text);
    }

private:
    void read_section(const std::string& text)
    {
        // Boost's parser drops a section without keys, so add one.
        const auto tree = this->parse(text + "\nkey=");
        if (!tree)
        {
            this->section_is_readable = false;
            return;
        }
        this->section_is_readable = true;
        this->section = tree->front().first;
        this->out.sections.push_back({this->line, this->section});

        const auto end = text.find_last_not_of(" \t\r");
        if (text[end] != ']')
            this->report_problem("unexpected text after the section's ']'");
    }

    void read_entry(const std::string& text)
    {
        const auto tree = this->parse(text);
        if (!tree || tree->empty())
            return;
        // The section's line has already been reported as a problem.
        if (!this->section_is_readable)
            return;
        const auto& [key, value] = tree->front();
        this->out.entries.push_back(
            {this->line, this->section, key, value.data()});
    }

    std::optional<property_tree::ptree> parse(const std::string& text)
    {
        std::istringstream in(text);
        property_tree::ptree tree;
        try
        {
            property_tree::read_ini(in, tree);
        }
        catch (const property_tree::ini_parser_error& error)
        {
            this->report_problem(error.message());
            return std::nullopt;
        }
        return tree;
    }

    void report_problem(std::string reason)
    {
        this->out.problems.push_back(
            {std::string(this->file),
             this->line,
             this->section,
             "",
             std::move(reason),
             "[section], key = value, or a comment after ';' or '#'"});
    }

    std::string_view file;
    ini_text& out;
    int line = 0;
    std::string section;
    bool section_is_readable = true;
};

} // namespace

ini_text read_ini(std::string_view text, std::string_view file)
{
    ini_text result;
    line_reader reader(file, result);
    std::istringstream in{std::string(text)};
    std::string line;
    while (std::getline(in, line))
        reader.read(line);
    return result;
}

} // namespace roseworks::settings
