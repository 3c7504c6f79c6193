#include "adapters/metrics/metric.hpp"

#include <ostream>

namespace roseworks::metrics
{

metric::metric(std::string_view metric_name, std::string_view help_text)
    : full_name(metric_name)
    , help(help_text)
{
}

void metric::write_header(std::ostream& out, std::string_view type) const
{
    out << "# HELP " << this->full_name << ' ';
    for (const char character : this->help)
    {
        if (character == '\\')
            out << "\\\\";
        else if (character == '\n')
            out << "\\n";
        else
            out << character;
    }
    out << "\n# TYPE " << this->full_name << ' ' << type << '\n';
}

void metric::write_series(std::ostream& out, std::string_view labels) const
{
    out << this->full_name;
    if (!labels.empty())
        out << '{' << labels << '}';
    out << ' ';
}

} // namespace roseworks::metrics
