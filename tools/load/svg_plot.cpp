#include "tools/load/svg_plot.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdio>

namespace roseworks::tools
{

namespace
{

constexpr double width = 860;
constexpr double height = 260;
constexpr double left = 60;
constexpr double right = 20;
constexpr double top = 30;
constexpr double bottom = 40;
constexpr int ticks = 5;
constexpr double legend_step = 150;

std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return text;
}

/// Maps data to the drawing area; both axes begin at 0.
struct scale
{
    double most_x = 1;
    double most_y = 1;

    double x(double value) const
    {
        return left + value / this->most_x * (width - left - right);
    }

    double y(double value) const
    {
        return height - bottom - value / this->most_y * (height - top - bottom);
    }
};

scale fit(const plot& what)
{
    scale result;
    double most_x = 0;
    double most_y = 0;
    for (const plot_line& line : what.lines)
    {
        for (const auto& [x, y] : line.points)
        {
            most_x = std::max(most_x, x);
            most_y = std::max(most_y, y);
        }
    }
    result.most_x = most_x > 0 ? most_x : 1;
    result.most_y = most_y > 0 ? most_y * 1.05 : 1;
    return result;
}

std::string text_at(
    double x,
    double y,
    const std::string& text,
    const char* anchor = "start",
    const char* colour = "#333")
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) +
           "\" text-anchor=\"" + anchor + "\" fill=\"" + colour + "\">" +
           escape_html(text) + "</text>\n";
}

std::string draw_axes(const plot& what, const scale& area)
{
    std::string svg;
    for (int i = 0; i <= ticks; ++i)
    {
        const double x = area.most_x * i / ticks;
        const double y = area.most_y * i / ticks;
        svg += "<line x1=\"" + number(left) + "\" x2=\"" +
               number(width - right) + "\" y1=\"" + number(area.y(y)) +
               "\" y2=\"" + number(area.y(y)) + "\" stroke=\"#ddd\"/>\n";
        svg += text_at(left - 6, area.y(y) + 4, number(y), "end");
        svg += text_at(area.x(x), height - bottom + 16, number(x), "middle");
    }
    svg += text_at(left, 16, what.title + " (" + what.y_label + ")");
    svg += text_at(width - right, height - 6, what.x_label, "end");
    return svg;
}

std::string draw_line(const plot_line& line, const scale& area)
{
    std::string svg;
    if (line.dots)
    {
        for (const auto& [x, y] : line.points)
        {
            svg += "<circle cx=\"" + number(area.x(x)) + "\" cy=\"" +
                   number(area.y(y)) + "\" r=\"2\" fill=\"" + line.colour +
                   "\"/>\n";
        }
        return svg;
    }
    svg += "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" +
           line.colour + "\" points=\"";
    for (const auto& [x, y] : line.points)
    {
        svg += number(area.x(x)) + ',' + number(area.y(y)) + ' ';
    }
    return svg + "\"/>\n";
}

} // namespace

std::string escape_html(const std::string& text)
{
    std::string escaped;
    for (const char c : text)
    {
        switch (c)
        {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string draw_svg(const plot& what)
{
    const scale area = fit(what);
    std::string svg =
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " +
        number(width) + ' ' + number(height) +
        "\" font-family=\"sans-serif\" font-size=\"11\">\n";
    svg += draw_axes(what, area);
    double legend_x =
        width - right - legend_step * static_cast<double>(what.lines.size());
    for (const plot_line& line : what.lines)
    {
        svg += draw_line(line, area);
        svg += text_at(legend_x, 16, line.label, "start", line.colour.c_str());
        legend_x += legend_step;
    }
    return svg + "</svg>\n";
}

} // namespace roseworks::tools
