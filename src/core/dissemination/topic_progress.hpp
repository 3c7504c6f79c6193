#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>
#include <optional>

namespace roseworks
{

/** How far a router knows one topic of the store, and as of when.

    Most routers learn of a topic from the one that reads it for all. A router
    reads it itself only when what it knows has grown too old, or when it
    missed something: so its bounds hold without the others' help, and the
    store's load doesn't grow with the number of routers.
*/
class topic_progress
{
public:
    struct options
    {
        /// What is known is read anew when it is older.
        duration most_age = std::chrono::seconds(1);
        /// Between two reads for news that others told of: what comes in quick
        /// succession is read together.
        duration rest = duration::zero();
    };

    explicit topic_progress(options settings);

    /// This router has read the topic.
    /// @param next  The offset to read from next.
    /// @param as_of Nothing before that offset was missing at this instant.
    void read(std::uint64_t next, instant as_of);

    /// Another router gave a copy of the topic, whole. As `read`, but what was
    /// announced and isn't in the copy is still missing.
    void copied(std::uint64_t next, instant as_of);

    /** Another router told what it read.

        A teller that knows less than this router is not believed: it may have
        been cut off from the store.

        @param from  The first offset that it told of.
        @param next  The offset after the last one.
        @param as_of As in `read`.
        @return      The first offset that is news here, where what was told
                     joins on to what is known; it counts as known then.
                     Otherwise empty.
    */
    std::optional<std::uint64_t>
    heard(std::uint64_t from, std::uint64_t next, instant as_of);

    /// @return When this router is to read the topic itself.
    instant due() const;

    /// @return Whether something is known to be missing.
    bool behind() const;

    /// @return Since when; empty while nothing is.
    std::optional<instant> behind_since() const;

    /// @return The offset to read from next; empty before the first read.
    std::optional<std::uint64_t> next() const
    {
        return this->known;
    }

    /// @return The offset after the last one that others are known to have.
    std::uint64_t last_announced() const
    {
        return this->announced;
    }

    instant as_of() const
    {
        return this->known_as_of;
    }

    /// From now on what is known may be so old.
    void limit_age(duration most_age)
    {
        this->settings.most_age = most_age;
    }

private:
    options settings;
    std::optional<std::uint64_t> known;
    std::uint64_t announced = 0; ///< others have read up to here
    instant announced_at;        ///< the first word of what is missing
    instant known_as_of;
    instant last_read;
};

} // namespace roseworks
