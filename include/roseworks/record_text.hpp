#pragma once

#include <roseworks/names.hpp>
#include <roseworks/specs.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// One error in a text of records.
struct text_problem
{
    std::size_t line = 0; ///< counted from 1
    std::string section;  ///< as written between the brackets
    std::string field;    ///< empty if the error concerns the section itself
    std::string reason;
    std::string allowed; ///< allowed range or words; empty if none apply
};

/// LEAF error object of `parse_records`: every problem, sorted by line.
struct text_problems
{
    std::vector<text_problem> all;
};

/// @return `12: [model a] memory_mib: out of range: 0; allowed: 1 to 16777216`.
std::string to_string(const text_problem& problem);

/// One entity as declared by an operator.
struct desired_entity
{
    std::string name;
    std::uint16_t schema = newest_entity_schema;
    entity_spec spec;
    std::size_t line = 0; ///< line of its section header

    entity_kind kind() const
    {
        return kind_of(this->spec);
    }
};

/// The content of a text of records, in the order of the text.
struct desired_fleet
{
    std::uint16_t schema = newest_entity_schema;
    std::vector<desired_entity> entities;

    /// @return The entity; null if it isn't declared.
    const desired_entity* find(entity_kind kind, std::string_view name) const;
};

/// Name of the only policy entity.
inline constexpr std::string_view policy_name = "policy";

/** Parse a text of records (docs/RECORDS.md).

    A section of schema 1 is converted to the newest schema. Its original schema
    is kept in `desired_entity::schema`.

    @param text The whole text.
    @return     The declared entities, or `text_problems` with every problem.
*/
boost::leaf::result<desired_fleet> parse_records(std::string_view text);

/** Format a text of records that `parse_records` can parse.

    @param fleet The content.
    @return      The text; the same for equal content.
*/
std::string print_records(const desired_fleet& fleet);

/// One field of a spec as text.
struct field_text
{
    std::string_view name;
    std::string value;

    bool operator==(const field_text&) const = default;
};

/** The fields of a spec.

    @param spec   The spec.
    @param schema Schema whose fields are used.
    @return       Names and values in the order of docs/RECORDS.md.
*/
std::vector<field_text>
fields_of(const entity_spec& spec, std::uint16_t schema = newest_entity_schema);

/// @return The content of docs/RECORDS.md, generated from the parser's table.
std::string field_reference();

} // namespace roseworks
