#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::golden
{

/// One line of a session's script.
struct step
{
    std::size_t line = 0; ///< counted from 1
    std::string source;   ///< the line as written
    std::vector<std::string> words;
    std::string text; ///< of `records` and `plan`: what stands before `end`

    /// @return The word at the place; throws when it isn't there.
    const std::string& word(std::size_t place) const;

    /// @return What follows `name=`, or the default.
    std::string
    value(std::string_view name, std::string_view otherwise = {}) const;
};

/** Read a script: a step a line, words divided by blanks, `#` for comments.

    `records` and `plan` take the lines up to `end` as a text of records.

    @param text The whole script.
    @return     Its steps; throws `std::runtime_error` with the line.
*/
std::vector<step> read_script(std::string_view text);

} // namespace roseworks::golden
