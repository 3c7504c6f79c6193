#include "core/config/field_table.hpp"
#include "core/config/record_reader.hpp"

#include <roseworks/record_text.hpp>

#include <algorithm>

namespace roseworks
{

std::string to_string(const text_problem& problem)
{
    std::string text = std::to_string(problem.line) + ": ";
    if (!problem.section.empty())
    {
        text += '[' + problem.section + "] ";
    }
    if (!problem.field.empty())
    {
        text += problem.field + ": ";
    }
    text += problem.reason;
    if (!problem.allowed.empty())
    {
        text += "; allowed: " + problem.allowed;
    }
    return text;
}

const desired_entity*
desired_fleet::find(entity_kind kind, std::string_view name) const
{
    const auto found = std::find_if(
        this->entities.begin(),
        this->entities.end(),
        [&](const desired_entity& entity)
        {
            return entity.kind() == kind && entity.name == name;
        });
    return found == this->entities.end() ? nullptr : &*found;
}

boost::leaf::result<desired_fleet> parse_records(std::string_view text)
{
    detail::record_reader reader;
    while (!text.empty())
    {
        const std::string_view line = text.substr(0, text.find('\n'));
        reader.line(line);
        text.remove_prefix(std::min(text.size(), line.size() + 1));
    }
    reader.finish();
    if (reader.problems.empty())
    {
        return std::move(reader.fleet);
    }
    std::stable_sort(
        reader.problems.begin(),
        reader.problems.end(),
        [](const text_problem& left, const text_problem& right)
        {
            return left.line < right.line;
        });
    return boost::leaf::new_error(text_problems{std::move(reader.problems)});
}

std::vector<field_text> fields_of(const entity_spec& spec, std::uint16_t schema)
{
    std::vector<field_text> fields;
    for (const detail::field_rule& rule : detail::rule_of(kind_of(spec)).fields)
    {
        if (rule.in_schema(schema))
        {
            fields.push_back({rule.name, rule.write(spec)});
        }
    }
    return fields;
}

std::string print_records(const desired_fleet& fleet)
{
    std::string text = "[deployment]\n";
    text += "schema = " + std::to_string(fleet.schema) + '\n';
    for (const desired_entity& entity : fleet.entities)
    {
        text += "\n[" + std::string(to_string(entity.kind()));
        if (entity.kind() != entity_kind::policy)
        {
            text += ' ' + entity.name;
        }
        text += "]\n";
        if (entity.schema != fleet.schema)
        {
            text += "schema = " + std::to_string(entity.schema) + '\n';
        }
        for (const field_text& field : fields_of(entity.spec, entity.schema))
        {
            text += std::string(field.name) + " = " + field.value + '\n';
        }
    }
    return text;
}

} // namespace roseworks
