#pragma once

#include "core/swapping/departure_meter.hpp"
#include "core/swapping/engine_book.hpp"
#include "core/swapping/load_ceiling.hpp"
#include "core/swapping/load_outlook.hpp"
#include "core/swapping/need_book.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks
{

/// An order that is worth sending now.
struct swap_order
{
    std::string engine; ///< id of its entry
    engine_action action = engine_action::load;
    std::string model;
    std::string adapter; ///< empty: the base model
    weight_source source = weight_source::disk;
    std::uint32_t waiting = 0; ///< requests that wait for it
};

/** Decides which engine loads or unloads which model next.

    Load pattern: requests for many models, each rarely, come faster than
    engines can be given to them one by one, and a burst more than doubles them.
    Nothing is bound before an order can go out: whenever engines are free, the
    model whose earliest objective is nearest takes the engine that can have it
    soonest, and one load serves all who wait for it.

    An engine that named a rate limit gives its models that pace only: they are
    loaded elsewhere, too, when somebody waits for them.

    Room is made when it is needed: an idle model is unloaded within some
    milliseconds, while each that stays may be asked for again.

    Hint; at most one order an engine at a time, never more than its memory and
    adapter places hold.
*/
class swap_planner
{
public:
    struct options
    {
        /// A model that nobody uses for so long may be unloaded. Shorter than
        /// it, requests that were told of it may be on their way. Routers tell
        /// within 20 ms that they don't use it any more.
        duration idle = std::chrono::milliseconds(150);
        /// Requests that run on one copy before another is loaded. An engine
        /// reads 38 prompt tokens in a millisecond; at some 650 tokens and
        /// 0.45 s a request, so many use a third of that.
        std::uint32_t running_per_copy = 8;
        /// The same as a share of an engine's slots: beyond it requests of
        /// many routers, which don't see each other's, meet in its queue.
        double slots_per_copy = 0.35;
        /// Another copy is wanted as urgently as a request with so much time.
        duration copy_urgency = std::chrono::milliseconds(600);
        /// With so many times the usual requests on each copy, an engine that
        /// has the weights is kept for another one: where many engines were
        /// lost, rarer models took each place on the few that had them.
        std::uint32_t overload = 2;
        /// A model that can still be loaded in time, but not much later, keeps
        /// an engine that has its copy from what is less urgent: else smaller
        /// or more popular models take each place as it comes free.
        duration reserve_slack = std::chrono::milliseconds(900);
        /// For it a model may be unloaded although so many requests run: they
        /// are finished first.
        std::uint32_t most_running_unloaded = 2;
        /// A load from the store keeps its engine from any other for six
        /// seconds and more: at most one engine in so many does one.
        std::size_t engines_per_store_load = 6;
        /// Engines whose disks have a model that is asked for: should one go,
        /// the model is back after a load from disk, a second, in place of one
        /// from the store, six and more.
        std::size_t spare_copies = 2;
        /// Requests that are expected to wait for a load from the store unless
        /// it is done beforehand: with fewer it isn't worth an engine's time.
        double requests_per_spare = 0.2;
        /// Copies are counted over all engines so often.
        duration spare_pause = std::chrono::milliseconds(100);
        departure_meter::options departures;
        load_ceiling::options store;
    };

    explicit swap_planner(options settings);

    /// An engine's load from the store has ended: its order is about to be
    /// taken from the book.
    void store_load_ended(
        const engine_book& engines, const engine_state& engine, instant now);

    /// @return Orders to send now; the caller enters them in the book.
    std::vector<swap_order>
    plan(const engine_book& engines, const need_book& needs, instant now);

    /// @return What is asked for and on no engine, as of the last round: when
    /// it
    ///         can be there if loads from the store go on as planned.
    std::span<const load_outlook> outlooks() const
    {
        return this->expected;
    }

private:
    /// A base model or adapter that somebody waits for.
    struct want
    {
        std::string servable; ///< its key
        std::string service;
        std::string model;
        std::string adapter;
        std::uint32_t waiting = 0;
        instant objective;
        instant deadline;
        bool extra_copy = false; ///< it is there, but too few copies are
        bool overloaded = false; ///< far too few
        /// It is on engines only that take less than they are asked for.
        bool only_limited = false;
        /// Requests that a load from the store spares a wait if it begins now
        /// rather than when the next one has ended.
        double spared = 0;
        bool uncopied = false; ///< no engine has it, or is loading it
    };

    /// An engine that could have the model, and how soon.
    struct candidate
    {
        const engine_state* engine = nullptr;
        weight_source source = weight_source::disk;
        std::vector<std::string> victims; ///< to unload first
        duration ready_in{};
        std::uint32_t running = 0;
    };

    /// What is known of a model on one engine.
    struct held_info
    {
        std::uint32_t running = 0;
        instant last_used;
    };

    /// What is known of an engine's models, in the order in which it has them.
    struct engine_info
    {
        std::vector<held_info> held;
        std::uint32_t running = 0;
    };

    /// A model over all engines of its service.
    struct model_sum
    {
        std::size_t copies = 0;  ///< resident, where no rate limit is named
        std::size_t limited = 0; ///< resident, where one is
        std::size_t loading = 0; ///< on their way
        std::uint32_t running = 0;
    };

    /// Which engines may load a model.
    enum class sources : std::uint8_t
    {
        own_copies, ///< those that have a copy
        store,      ///< those that have none
        bare_disks  ///< of these, those with next to nothing on their disks
    };

    /// One round of planning.
    struct round
    {
        const engine_book& engines;
        const need_book& needs;
        instant now;
        std::unordered_map<const engine_state*, engine_info> infos;
        std::unordered_map<std::string, model_sum> sums; ///< by model's key
        std::set<std::string, std::less<>> taken;  ///< engines with an order
        std::set<std::string, std::less<>> wanted; ///< keys of models
        std::vector<swap_order> orders;
        /// Requests that wait for a model which is on no disk, by its key.
        std::unordered_map<std::string, std::uint32_t> uncopied;
    };

    void survey(round& current) const;
    engine_info survey(const round& current, const engine_state& engine) const;
    std::vector<want> collect(const round& current) const;
    void add_busy(const round& current, std::vector<want>& wants) const;
    std::uint32_t
    running_per_copy(const round& current, std::string_view service) const;
    std::size_t copies_needed(
        const round& current,
        std::string_view service,
        const model_sum& sum) const;
    void place_model(round& current, const want& what);
    /// @return Whether more requests wait for it than the limited engines that
    ///         have it take in a second.
    bool is_outpaced(const round& current, const want& what) const;
    /// @return Whether there is an engine for it now.
    bool load_on_best(round& current, const want& what, sources from);
    void place_adapter(round& current, const want& what) const;
    std::optional<candidate>
    best_engine(const round& current, const want& what, sources from) const;
    std::optional<candidate> examine(
        const round& current,
        const engine_state& engine,
        const model_profile& model,
        sources from,
        bool urgent) const;
    /// @return Copies on an engine's disk below which it counts as bare: it can
    ///         do little else than to load from the store.
    double bare_limit(const round& current, std::string_view service) const;
    bool make_room(
        const round& current,
        const engine_state& engine,
        double needed_mb,
        bool urgent,
        std::vector<std::string>& victims) const;
    bool may_unload(
        const round& current,
        const engine_state& engine,
        const held_model& held,
        const held_info& info,
        bool urgent) const;
    bool is_urgent(const round& current, const want& what) const;
    /** Orders loads from the store, the one worth most first.

        Load pattern: the engines of a release come back with bare disks, and
        the store gives a model in six seconds. Models that nobody has a copy of
        and those whose last copies are about to go are asked for by many.
    */
    void load_from_store(round& current);
    std::vector<want>
    store_wants(const round& current, const std::string& service) const;
    /// @return How many engines have a model, or are loading it.
    std::unordered_map<std::string_view, std::size_t>
    count_copies(const round& current, std::string_view service) const;
    void watch_departures(const round& current);
    void foresee(
        const round& current,
        const std::string& service,
        std::span<const want> wants);
    /// @return When each of the loads that the store does at once ends, the
    ///         earliest first.
    std::vector<instant>
    store_slots(const round& current, const std::string& service) const;
    /// @return Loads from the store that may run at once.
    std::size_t most_store_loads(std::size_t engines) const;
    void reserve(round& current, const want& what) const;
    /// Makes the order one that frees an adapter's place.
    /// @return Whether there is one to be freed.
    bool unload_adapter(
        const round& current,
        const engine_state& engine,
        swap_order& order) const;
    /// @return Which engines may load from the store now; empty: none.
    std::optional<sources> store_allows(const round& current, const want& what);
    bool copied_anywhere(const round& current, const want& what) const;
    const model_sum& sum_of(const round& current, std::string_view key) const;

    options settings;
    load_ceiling ceiling;
    departure_meter departures;
    std::vector<load_outlook> expected;
    instant copies_counted;
};

} // namespace roseworks
