#pragma once

#include <string>
#include <utility>
#include <vector>

namespace roseworks::tools
{

/// One line of a plot, drawn in steps or straight.
struct plot_line
{
    std::string label;
    std::string colour; ///< an SVG colour
    std::vector<std::pair<double, double>> points;
    bool dots = false; ///< single dots instead of a line
};

/// A plot with its title and axes.
struct plot
{
    std::string title;
    std::string x_label;
    std::string y_label;
    std::vector<plot_line> lines;
};

/// @return The plot as an SVG element, with no reference to anything outside.
std::string draw_svg(const plot& what);

/// @return Text with the characters escaped that HTML gives a meaning.
std::string escape_html(const std::string& text);

} // namespace roseworks::tools
