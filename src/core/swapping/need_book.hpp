#pragma once

#include "core/swapping/demand_meter.hpp"
#include "core/swapping/peer_words.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks
{

/// A model or adapter that requests wait for, over all routers.
struct wanted_servable
{
    std::string servable; ///< its key
    std::uint32_t waiting = 0;
    instant objective = instant::max(); ///< earliest that can be met
    instant deadline;                   ///< earliest
    std::vector<std::string> routers;   ///< where they wait
};

/** What all routers need and use, as they last told the owner. Hint.

    A word counts until the next one of its router, and not for longer than its
    lifetime: routers repeat what still waits.
*/
class need_book
{
public:
    struct options
    {
        /// Routers repeat a need every 250 ms; two may be lost.
        duration need_lifetime = std::chrono::milliseconds(800);
        /// Uses are told every 100 to 500 ms.
        duration use_lifetime = std::chrono::milliseconds(1500);
        duration router_lifetime = std::chrono::seconds(3);
        /// Who used a servable on an engine so lately is told of its end.
        duration recent_use = std::chrono::seconds(10);
        demand_meter::options demand;
    };

    explicit need_book(options settings);

    /// @return Whether the word is news; an older one changes nothing.
    bool heard(const router_word& word, instant now);

    /// @return All that is waited for, earliest objective first, then those
    ///         whose objective has passed, earliest deadline first.
    std::vector<wanted_servable> wanted(instant now) const;

    /// What runs of one servable on one engine.
    struct use
    {
        std::uint32_t running = 0;
        instant last_used; ///< something ran then
    };

    /// @return Null when nothing was heard of it.
    const use*
    find_use(std::string_view engine, std::string_view servable) const;

    /// @param model Its key.
    /// @return Requests for it, by all routers, those long ago counted less.
    ///         One that waited before it was sent counts twice.
    double demand(const std::string& model, instant now) const
    {
        return this->asked.of(model, now);
    }

    /// @param model Its key.
    /// @return The same as requests a second.
    double demand_rate(const std::string& model, instant now) const
    {
        return this->asked.rate(model, now);
    }

    /// @return Routers where requests wait for a servable.
    std::vector<std::string>
    routers_waiting(std::string_view servable, instant now) const;

    /// @return Routers that used a servable on an engine lately.
    std::vector<std::string>
    routers_using(std::string_view engine, std::string_view servable) const;

    /// @return Routers that sent word lately.
    std::size_t routers(instant now) const;

    /// Forgets what is too old to count.
    void tick(instant now);

private:
    struct need_row
    {
        std::uint32_t waiting = 0;
        instant objective;
        instant deadline;
        instant heard;
    };

    struct use_row
    {
        std::uint32_t running = 0;
        instant heard;
        instant last_used;
    };

    struct router_row
    {
        std::uint64_t run = 0;
        std::uint64_t sequence = 0;
        instant heard;
        std::unordered_map<std::string, need_row> needs; ///< by servable
        std::unordered_map<std::string, use_row> uses;   ///< by use_key
    };

    static std::string
    use_key(std::string_view engine, std::string_view servable);
    void take_uses(router_row& row, const router_word& word, instant now);
    void change_use(
        const std::string& key, std::uint32_t before, std::uint32_t after);

    options settings;
    std::map<std::string, router_row, std::less<>> rows;
    std::unordered_map<std::string, use> uses; ///< by use_key
    demand_meter asked;
};

} // namespace roseworks
