#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace roseworks::metrics
{

/// Defines the name of a label and its values. Specialise it for an enum whose
/// enumerators are numbered consecutively from 0:
///
///     template <>
///     struct label_traits<priority>
///     {
///         static constexpr std::string_view name = "priority";
///         static constexpr std::array<std::string_view, 3> values = {
///             "urgent", "normal", "batch"};
///     };
template <typename Enum>
struct label_traits;

/// Maps each combination of label values to an index into a flat array. Labels
/// are enums so that the number of series is fixed at compile time; external
/// names (models, callers) are never labels.
template <typename... Labels>
struct label_set
{
    /// The number of combinations; 1 without labels.
    static constexpr std::size_t size =
        (std::size_t{1} * ... * label_traits<Labels>::values.size());

    /// @return the index of a combination, below `size`.
    static constexpr std::size_t index(Labels... labels)
    {
        std::size_t result = 0;
        ((result = result * label_traits<Labels>::values.size() +
                   static_cast<std::size_t>(labels)),
         ...);
        return result;
    }

    /// @return the labels of a combination, such as `a="x",b="y"`; empty
    /// without
    ///         labels.
    static std::string text(std::size_t index)
    {
        std::array<std::size_t, sizeof...(Labels)> positions{};
        constexpr std::array<std::size_t, sizeof...(Labels)> sizes{
            label_traits<Labels>::values.size()...};
        for (std::size_t label = sizeof...(Labels); label-- > 0;)
        {
            positions[label] = index % sizes[label];
            index /= sizes[label];
        }

        std::string result;
        std::size_t label = 0;
        (append<Labels>(result, positions[label++]), ...);
        return result;
    }

private:
    template <typename Label>
    static void append(std::string& out, std::size_t position)
    {
        if (!out.empty())
            out += ',';
        out += label_traits<Label>::name;
        out += "=\"";
        out += label_traits<Label>::values[position];
        out += '"';
    }
};

} // namespace roseworks::metrics
