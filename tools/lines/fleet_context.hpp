#pragma once

#include "tools/lines/log_line.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::tools
{

/** What the lines tell of models and servers, to find why a request was lost.

    Bounded: of each model and each server the newest events are kept.
*/
class fleet_context
{
public:
    /// A load that the placement owner ordered.
    struct load_order
    {
        std::int64_t at_ms = 0;
        std::string engine;
        std::string source; ///< `memory`, `disk` or `store`
    };

    void take(const log_line& line);

    /// @return The last load of a model that was ordered within a time.
    std::optional<load_order> load_between(
        std::string_view model, std::int64_t from_ms, std::int64_t to_ms) const;

    /// @return Whether the last order for a model that an engine took before a
    ///         time was to unload it.
    bool was_unloaded(
        std::string_view model,
        std::string_view engine,
        std::int64_t before_ms) const;

    /// @return Whether a server left the registry within a time.
    bool gone_between(
        std::string_view server,
        std::int64_t from_ms,
        std::int64_t to_ms) const;

    /// @return Whether a server couldn't be reached within a time.
    bool unreached_between(
        std::string_view server,
        std::int64_t from_ms,
        std::int64_t to_ms) const;

private:
    /// An order to load or unload a model that its engine took.
    struct model_order
    {
        std::int64_t at_ms = 0;
        std::string engine;
        bool unloads = false;
    };

    using times = std::deque<std::int64_t>;

    std::map<std::string, std::deque<load_order>, std::less<>> loads;
    std::map<std::string, std::deque<model_order>, std::less<>> orders;
    std::map<std::string, times, std::less<>> gone;
    std::map<std::string, times, std::less<>> unreached;
};

} // namespace roseworks::tools
