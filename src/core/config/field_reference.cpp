#include "core/config/field_table.hpp"

#include <roseworks/record_text.hpp>

namespace roseworks
{

namespace
{

constexpr std::string_view introduction = R"(# Records

Operators declare what shall be servable in a text of records; `roseworksctl`
checks it, shows what would change (`plan`) and publishes it on the log
(`apply`). This page is written from the table that drives the parser:
`roseworksctl fields`.

- One `[section]` an entity, `field = value` below it, `#` or `;` first in a
  line for comments. Order doesn't matter, but `[deployment]` comes first.
- `[deployment]` has one field, `schema`: the schema of all sections that don't
  state one of their own. Schemas 1 to 3 can stand side by side. Schema 1 has
  `replicas` where later ones have `min_replicas` and `max_replicas`; it is read
  as `max_replicas` with `min_replicas` 0. Schema 3 added the policy's
  `strategy` and `hold_ms`; without them each router goes by its own settings.
  Routers older than a section's schema keep the entity as they last knew it, so
  upgrade all of them before publishing a newer one.
- What a file doesn't name stays as it is; `--prune` removes it.
- Names are 1 to 64 letters, digits, `.`, `_` or `-`. A model and an adapter
  can't share one.
- Memory is in MiB, times are in milliseconds.

```ini
[deployment]
schema = 2

[model agri-lm]
version = 3
memory_mib = 24576
max_replicas = 4

[adapter agri-lm-tamil]
schema = 1
base = agri-lm
memory_mib = 192
replicas = 2
```
)";

std::string schemas_of(const detail::field_rule& rule)
{
    std::string list;
    for (unsigned schema = rule.first_schema; schema <= rule.last_schema;
         ++schema)
    {
        list += (list.empty() ? "" : ", ") + std::to_string(schema);
    }
    return list;
}

std::string
default_of(const detail::kind_rule& kind, const detail::field_rule& rule)
{
    return rule.required ? "required" : '`' + rule.write(kind.make()) + '`';
}

} // namespace

std::string field_reference()
{
    std::string page(introduction);
    for (const detail::kind_rule& kind : detail::kind_rules())
    {
        const bool is_policy = kind.kind == entity_kind::policy;
        page += "\n## `[" + std::string(kind.word);
        page += is_policy ? "]`\n\n" : " NAME]`\n\n";
        page += std::string(kind.meaning) + "\n\n";
        page += "| field | meaning | allowed | default | schemas |\n";
        page += "|---|---|---|---|---|\n";
        for (const detail::field_rule& rule : kind.fields)
        {
            page += "| `" + std::string(rule.name) + "` | ";
            page += std::string(rule.meaning) + " | ";
            page += detail::allowed_text(rule) + " | ";
            page += default_of(kind, rule) + " | ";
            page += schemas_of(rule) + " |\n";
        }
    }
    return page;
}

} // namespace roseworks
