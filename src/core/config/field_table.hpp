#pragma once

#include <roseworks/record_text.hpp>
#include <roseworks/specs.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace roseworks::detail
{

/// Oldest schema of entity specs that is still read.
inline constexpr std::uint16_t oldest_entity_schema = 1;

/// How one field is read, checked, printed and documented.
struct field_rule
{
    std::string_view name;
    std::string_view meaning;
    std::string_view allowed; ///< words or form; empty for numbers
    std::uint64_t low = 0;    ///< numbers only
    std::uint64_t high = 0;
    bool required = false;
    std::uint16_t first_schema = oldest_entity_schema;
    std::uint16_t last_schema = newest_entity_schema;
    /// Reads a value into the spec. @return Empty, or why it is wrong.
    std::string (*read)(
        entity_spec& spec,
        std::string_view text,
        const field_rule& rule) = nullptr;
    std::string (*write)(const entity_spec& spec) = nullptr;

    bool in_schema(std::uint16_t schema) const
    {
        return schema >= this->first_schema && schema <= this->last_schema;
    }
};

/// One kind of section.
struct kind_rule
{
    entity_kind kind = entity_kind::model;
    std::string_view word;
    std::string_view meaning;
    std::span<const field_rule> fields;
    entity_spec (*make)() = nullptr; ///< spec with its defaults

    const field_rule* find(std::string_view name) const;
};

/// The whole table, by `entity_kind`.
std::span<const kind_rule> kind_rules();

/// @return The rule of a kind.
const kind_rule& rule_of(entity_kind kind);

/// @return The rule of a section's first word, null when there is none.
const kind_rule* find_kind(std::string_view word);

/// @return What is allowed, for messages and docs.
std::string allowed_text(const field_rule& rule);

/// Longest name of an entity, VM or data centre.
inline constexpr std::size_t max_name_size = 64;

/// @return Whether the text is 1 to 64 of `[A-Za-z0-9._-]`.
bool is_name(std::string_view text);

} // namespace roseworks::detail
