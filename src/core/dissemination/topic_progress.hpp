#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>
#include <optional>

namespace roseworks
{

/** Tracks how far a router knows one topic of the store, and as of when.

    Most routers receive the changes of a topic from the one router that reads
    the store for all. A router reads the topic itself only when its data is too
    old or when it has missed an update. The bound on the age of its data thus
    does not depend on other routers, and the load on the store does not grow
    with the number of routers.
*/
class topic_progress
{
public:
    struct options
    {
        /// The topic is read when the data is older.
        duration max_age = std::chrono::seconds(1);
        /// Minimum time between two reads that are caused by announced changes,
        /// so that changes in quick succession are read together.
        duration min_read_interval = duration::zero();
    };

    explicit topic_progress(options settings);

    /// This router has read the topic.
    /// @param next  The offset to read from next.
    /// @param as_of When the data was known to be complete up to `next`.
    void read(std::uint64_t next, instant as_of);

    /// Another router sent a copy of the whole topic. Unlike after `read`,
    /// announced changes that the copy does not contain are still missing.
    void copied(std::uint64_t next, instant as_of);

    /** Another router announced the changes that it read.

        An announcement that ends before the data of this router is ignored: its
        sender may be disconnected from the store.

        @param from  The first offset that is announced.
        @param next  The offset after the last one that is announced.
        @param as_of As in `read`.
        @return      The first announced offset that is new to this router.
                     Empty if none is new, or if there is a gap before `from`.
                     Without a gap, all before `next` is known from now on.
    */
    std::optional<std::uint64_t>
    apply_announcement(std::uint64_t from, std::uint64_t next, instant as_of);

    /// @return When this router has to read the topic itself.
    instant next_read_at() const;

    /// @return Whether announced changes are missing.
    bool is_behind() const;

    /// @return Since when announced changes are missing; empty if none are.
    std::optional<instant> behind_since() const;

    /// @return The offset to read from next; empty before the first read.
    std::optional<std::uint64_t> next() const
    {
        return this->known;
    }

    /// @return The offset after the last one that was announced.
    std::uint64_t last_announced() const
    {
        return this->announced;
    }

    instant as_of() const
    {
        return this->known_as_of;
    }

    /// Sets the maximum age of the data.
    void set_max_age(duration max_age)
    {
        this->settings.max_age = max_age;
    }

private:
    options settings;
    std::optional<std::uint64_t> known;
    std::uint64_t announced = 0; ///< the offset after the last announced one
    instant announced_at; ///< first announcement of changes still missing
    instant known_as_of;
    instant last_read;
};

} // namespace roseworks
