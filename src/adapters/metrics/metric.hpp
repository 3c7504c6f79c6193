#pragma once

#include <iosfwd>
#include <string>
#include <string_view>

namespace roseworks::metrics
{

/// A named metric that can write itself in the Prometheus text format.
class metric
{
public:
    metric(std::string_view metric_name, std::string_view help_text);
    virtual ~metric() = default;

    metric(const metric&) = delete;
    metric& operator=(const metric&) = delete;

    /// Writes the `HELP` and `TYPE` lines and every series.
    virtual void write(std::ostream& out) const = 0;

    const std::string& name() const
    {
        return this->full_name;
    }

protected:
    /// Writes the `HELP` and `TYPE` lines; `type` is a Prometheus type.
    void write_header(std::ostream& out, std::string_view type) const;

    /// Writes `name{labels} `, without braces when there are no labels.
    void write_series(std::ostream& out, std::string_view labels) const;

private:
    std::string full_name;
    std::string help;
};

} // namespace roseworks::metrics
