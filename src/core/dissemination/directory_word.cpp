#include "core/dissemination/directory_word.hpp"

#include <algorithm>
#include <cassert>
#include <cstddef>

namespace roseworks
{

std::vector<directory_word> split(const directory_word& word, std::size_t most)
{
    assert(most > 0);
    std::vector<directory_word> parts;
    std::uint64_t from = word.registry_from;
    for (std::size_t i = 0; i == 0 || i < word.changes.size(); i += most)
    {
        const std::size_t end = std::min(i + most, word.changes.size());
        const auto first = word.changes.begin();
        directory_word part = word;
        part.changes.assign(
            first + static_cast<std::ptrdiff_t>(i),
            first + static_cast<std::ptrdiff_t>(end));
        part.registry_from = from;
        const bool is_last = end == word.changes.size();
        if (!is_last)
            part.registry.next = part.changes.back().offset + 1;
        from = part.registry.next;
        parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace roseworks
