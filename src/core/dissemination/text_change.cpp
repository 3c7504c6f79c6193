#include "core/dissemination/text_change.hpp"

#include <algorithm>
#include <unordered_map>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace roseworks
{

namespace
{

constexpr char object_begin = '{';
constexpr unsigned bits_per_byte = 7; ///< of an encoded number
constexpr unsigned char continues = 1U << bits_per_byte;

/// A part of the later version: a range of the earlier one, or new text.
struct step
{
    bool is_copy = false;
    std::size_t begin = 0; ///< in the earlier version if `is_copy`
    std::size_t size = 0;
};

/// @return The end of the object, or other piece of text, that begins here.
std::size_t piece_end(std::string_view text, std::size_t begin)
{
    return std::min(text.find(object_begin, begin + 1), text.size());
}

/// The pieces of the earlier version by content.
class piece_index
{
public:
    explicit piece_index(std::string_view whole)
        : text(whole)
    {
        for (std::size_t begin = 0; begin < whole.size();)
        {
            const std::size_t end = piece_end(whole, begin);
            this->positions.try_emplace(
                whole.substr(begin, end - begin), begin);
            begin = end;
        }
    }

    /// @param preferred Where an equal piece is looked for first, so that
    ///                  consecutive pieces make one step.
    /// @return          Where the piece is; empty if it is new.
    std::optional<std::size_t>
    find(std::string_view piece, std::size_t preferred) const
    {
        if (this->text.substr(preferred).starts_with(piece))
            return preferred;
        const auto found = this->positions.find(piece);
        if (found == this->positions.end())
            return std::nullopt;
        return found->second;
    }

private:
    struct hash
    {
        std::size_t operator()(std::string_view piece) const
        {
            return XXH3_64bits(piece.data(), piece.size());
        }
    };

    std::string_view text;
    std::unordered_map<std::string_view, std::size_t, hash> positions;
};

std::vector<step> find_steps(std::string_view before, std::string_view after)
{
    const piece_index known(before);
    std::vector<step> steps;
    std::size_t next_in_before = 0;
    for (std::size_t begin = 0; begin < after.size();)
    {
        const std::size_t size = piece_end(after, begin) - begin;
        const auto found =
            known.find(after.substr(begin, size), next_in_before);
        const step one{found.has_value(), found.value_or(begin), size};
        const bool continues_last =
            !steps.empty() && steps.back().is_copy == one.is_copy &&
            steps.back().begin + steps.back().size == one.begin;
        if (continues_last)
            steps.back().size += size;
        else
            steps.push_back(one);
        if (one.is_copy)
            next_in_before = one.begin + size;
        begin += size;
    }
    return steps;
}

void append_number(std::string& to, std::uint64_t number)
{
    for (; number >= continues; number >>= bits_per_byte)
        to += static_cast<char>(number | continues);
    to += static_cast<char>(number);
}

/// Reads the encoded steps. Every read fails beyond the end.
class step_reader
{
public:
    explicit step_reader(std::string_view steps)
        : rest(steps)
    {
    }

    bool is_at_end() const
    {
        return this->rest.empty();
    }

    std::optional<std::uint64_t> number()
    {
        constexpr unsigned max_bits = 63;
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < max_bits; shift += bits_per_byte)
        {
            if (this->rest.empty())
                return std::nullopt;
            const auto byte = static_cast<unsigned char>(this->rest.front());
            this->rest.remove_prefix(1);
            value |= std::uint64_t(byte & (continues - 1U)) << shift;
            if ((byte & continues) == 0)
                return value;
        }
        return std::nullopt;
    }

    std::optional<std::string_view> text(std::uint64_t size)
    {
        if (size > this->rest.size())
            return std::nullopt;
        const std::string_view read = this->rest.substr(0, size);
        this->rest.remove_prefix(size);
        return read;
    }

private:
    std::string_view rest;
};

/// @return The text that the next step adds; empty if the step is malformed.
std::optional<std::string_view>
read_step(step_reader& steps, std::string_view before)
{
    const auto kind_and_size = steps.number();
    if (!kind_and_size)
        return std::nullopt;
    const std::uint64_t size = *kind_and_size >> 1U;
    const bool is_copy = (*kind_and_size & 1U) != 0;
    if (!is_copy)
        return steps.text(size);
    const auto begin = steps.number();
    if (!begin || *begin > before.size() || size > before.size() - *begin)
        return std::nullopt;
    return before.substr(*begin, size);
}

} // namespace

std::uint64_t text_digest(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

text_change compare_texts(std::string_view before, std::string_view after)
{
    text_change change;
    change.base_digest = text_digest(before);
    change.digest = text_digest(after);
    change.size = after.size();
    for (const step& one : find_steps(before, after))
    {
        append_number(
            change.steps,
            std::uint64_t(one.size) << 1U | (one.is_copy ? 1 : 0));
        if (one.is_copy)
            append_number(change.steps, one.begin);
        else
            change.steps += after.substr(one.begin, one.size);
    }
    return change;
}

std::optional<std::string> apply_change(
    std::string_view before, const text_change& change, std::size_t max_bytes)
{
    if (change.size > max_bytes || change.base_digest != text_digest(before))
        return std::nullopt;
    std::string after;
    after.reserve(change.size);
    step_reader steps(change.steps);
    while (!steps.is_at_end())
    {
        const auto added = read_step(steps, before);
        if (!added || added->size() > change.size - after.size())
            return std::nullopt;
        after += *added;
    }
    if (after.size() != change.size || text_digest(after) != change.digest)
        return std::nullopt;
    return after;
}

} // namespace roseworks
