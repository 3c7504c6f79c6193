#pragma once

#include "core/config/field_table.hpp"

#include <roseworks/record_text.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::detail
{

/// Reads a text of records line by line and collects every problem.
class record_reader
{
public:
    /// Reads the next line, without its line break.
    void line(std::string_view text);

    /// Ends the text and checks what spans sections.
    void finish();

    /// Valid once `finish` was called and `problems` is empty.
    desired_fleet fleet;
    std::vector<text_problem> problems;

private:
    /// What the current section takes.
    enum class section_kind
    {
        none, ///< before the first section, or after a wrong one
        deployment,
        entity
    };

    void open_section(std::string_view text);
    void close_section();
    void field(std::string_view text);
    void deployment_field(std::string_view name, std::string_view value);
    void entity_field(std::string_view name, std::string_view value);
    void read_schema(
        std::uint16_t& schema, std::string_view name, std::string_view value);
    void check_across();
    void check_replicas(const desired_entity& checked);
    void report(
        std::string_view field_name,
        std::string reason,
        std::string allowed = {});

    std::size_t number = 0; ///< of the current line
    section_kind open = section_kind::none;
    std::string title;
    std::size_t title_line = 0;
    const kind_rule* kind = nullptr;
    desired_entity entity;
    /// Fields of the current section, by name, with their lines.
    std::map<std::string, std::size_t, std::less<>> seen;
    std::set<std::string, std::less<>> titles;
    /// Values of the current section: the schema may stand below them.
    struct pending_field
    {
        std::size_t line = 0;
        std::string name;
        std::string value;
    };
    std::vector<pending_field> pending;
};

} // namespace roseworks::detail
