#include "core/config/record_reader.hpp"

#include "core/config/field_values.hpp"

#include <utility>

namespace roseworks::detail
{

namespace
{

constexpr std::string_view deployment_word = "deployment";
constexpr std::string_view schema_word = "schema";

/// `model agri-lm` -> `model` and `agri-lm`.
std::pair<std::string_view, std::string_view> split_title(std::string_view text)
{
    const std::size_t blank = text.find_first_of(" \t");
    if (blank == std::string_view::npos)
    {
        return {text, {}};
    }
    return {text.substr(0, blank), trim(text.substr(blank))};
}

std::string known_fields(const kind_rule& kind, std::uint16_t schema)
{
    std::string words = "schema";
    for (const field_rule& rule : kind.fields)
    {
        if (rule.in_schema(schema))
        {
            words += ", " + std::string(rule.name);
        }
    }
    return words;
}

std::string known_kinds()
{
    std::string words(deployment_word);
    for (const kind_rule& rule : kind_rules())
    {
        words += ", " + std::string(rule.word);
    }
    return words;
}

/// Smallest and largest number of replicas of a model or adapter.
std::pair<unsigned, unsigned> replica_bounds(const entity_spec& spec)
{
    if (const auto* model = std::get_if<model_spec>(&spec))
    {
        return {model->min_replicas, model->max_replicas};
    }
    if (const auto* adapter = std::get_if<adapter_spec>(&spec))
    {
        return {adapter->min_replicas, adapter->max_replicas};
    }
    return {0, 0};
}

} // namespace

void record_reader::line(std::string_view text)
{
    ++this->number;
    text = trim(text);
    if (text.empty() || text.front() == '#' || text.front() == ';')
    {
        return;
    }
    if (text.front() == '[')
    {
        this->close_section();
        this->open_section(text);
        return;
    }
    this->field(text);
}

void record_reader::finish()
{
    this->close_section();
    this->check_across();
}

void record_reader::open_section(std::string_view text)
{
    this->open = section_kind::none;
    this->title_line = this->number;
    this->title = std::string(text);
    if (text.back() != ']')
    {
        this->report({}, "section without `]`");
        return;
    }
    text = trim(text.substr(1, text.size() - 2));
    this->title = std::string(text);
    if (!this->titles.insert(this->title).second)
    {
        this->report({}, "section stands twice");
        return;
    }
    const auto [word, name] = split_title(text);
    if (word == deployment_word && name.empty())
    {
        this->open = section_kind::deployment;
        return;
    }
    this->kind = find_kind(word);
    if (this->kind == nullptr)
    {
        this->report({}, "unknown kind of section", known_kinds());
        return;
    }
    const bool is_policy = this->kind->kind == entity_kind::policy;
    if (is_policy ? !name.empty() : !is_name(name))
    {
        const std::string_view form = is_policy ? "no name" : name_form;
        this->report({}, "wrong name", std::string(form));
        return;
    }
    this->open = section_kind::entity;
    this->entity = {
        std::string(is_policy ? policy_name : name),
        this->fleet.schema,
        this->kind->make(),
        this->number};
}

void record_reader::field(std::string_view text)
{
    const std::size_t equals = text.find('=');
    const std::string name(trim(text.substr(0, equals)));
    if (equals == std::string_view::npos || name.empty())
    {
        this->report({}, "neither a section, a field nor a comment");
        return;
    }
    if (this->titles.empty())
    {
        this->report(name, "stands before any section");
        return;
    }
    if (this->open == section_kind::none)
    {
        return; // its section was reported
    }
    const auto [first, is_new] = this->seen.emplace(name, this->number);
    if (!is_new)
    {
        const std::string line = std::to_string(first->second);
        this->report(name, "stands twice; first in line " + line);
        return;
    }
    const std::string_view value = trim(text.substr(equals + 1));
    if (this->open == section_kind::deployment)
    {
        this->deployment_field(name, value);
        return;
    }
    if (name == schema_word)
    {
        this->read_schema(this->entity.schema, name, value);
        return;
    }
    this->pending.push_back({this->number, name, std::string(value)});
}

void record_reader::deployment_field(
    std::string_view name, std::string_view value)
{
    if (name != schema_word)
    {
        this->report(name, "unknown field", std::string(schema_word));
        return;
    }
    if (!this->fleet.entities.empty())
    {
        this->report(name, "must stand before the entities");
        return;
    }
    this->read_schema(this->fleet.schema, name, value);
}

void record_reader::read_schema(
    std::uint16_t& schema, std::string_view name, std::string_view value)
{
    field_rule rule;
    rule.low = oldest_entity_schema;
    rule.high = newest_entity_schema;
    std::string reason = read_value(schema, value, rule);
    if (!reason.empty())
    {
        this->report(name, std::move(reason), allowed_text(rule));
    }
}

void record_reader::entity_field(std::string_view name, std::string_view value)
{
    const std::uint16_t schema = this->entity.schema;
    const field_rule* rule = this->kind->find(name);
    if (rule == nullptr || !rule->in_schema(schema))
    {
        const std::string reason =
            rule == nullptr ? "unknown field"
                            : "not a field of schema " + std::to_string(schema);
        this->report(name, reason, known_fields(*this->kind, schema));
        return;
    }
    std::string reason = rule->read(this->entity.spec, value, *rule);
    if (!reason.empty())
    {
        this->report(name, std::move(reason), allowed_text(*rule));
    }
}

void record_reader::close_section()
{
    const std::size_t here = this->number;
    if (this->open == section_kind::entity)
    {
        for (const pending_field& given : this->pending)
        {
            this->number = given.line;
            this->entity_field(given.name, given.value);
        }
        this->number = this->title_line;
        for (const field_rule& rule : this->kind->fields)
        {
            const bool given = this->seen.contains(rule.name);
            if (rule.required && !given && rule.in_schema(this->entity.schema))
            {
                this->report(rule.name, "is missing", allowed_text(rule));
            }
        }
        this->check_replicas(this->entity);
        this->fleet.entities.push_back(std::move(this->entity));
    }
    this->number = here;
    this->pending.clear();
    this->seen.clear();
    this->open = section_kind::none;
}

void record_reader::check_replicas(const desired_entity& checked)
{
    const auto [low, high] = replica_bounds(checked.spec);
    if (low > high)
    {
        this->report(
            "min_replicas",
            "above max_replicas: " + std::to_string(low),
            "0 to " + std::to_string(high));
    }
}

void record_reader::check_across()
{
    std::map<std::string, std::string> servables;
    std::map<std::string, std::string> addresses;
    for (const desired_entity& checked : this->fleet.entities)
    {
        this->number = checked.line;
        this->title = std::string(to_string(checked.kind()));
        this->title += ' ' + checked.name;
        const auto* engine = std::get_if<engine_spec>(&checked.spec);
        if (engine != nullptr && !engine->address.empty())
        {
            const auto [other, is_new] =
                addresses.emplace(engine->address, this->title);
            if (!is_new)
            {
                this->report("address", "is also that of " + other->second);
            }
        }
        const bool servable = checked.kind() == entity_kind::model ||
                              checked.kind() == entity_kind::adapter;
        if (servable && !servables.emplace(checked.name, this->title).second)
        {
            this->report({}, "a model and an adapter share this name");
        }
    }
}

void record_reader::report(
    std::string_view field_name, std::string reason, std::string allowed)
{
    this->problems.push_back(
        {this->number,
         this->title,
         std::string(field_name),
         std::move(reason),
         std::move(allowed)});
}

} // namespace roseworks::detail
