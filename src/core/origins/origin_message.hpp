#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/// The software that began one stream.
struct origin_record
{
    std::uint64_t stream = 0;
    std::uint64_t software = 0; ///< 0: routers disagree
    std::int64_t age_us = 0;    ///< time since the first event

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->stream, this->software, this->age_us);
    }
};

/// A software that servers of a service had.
struct software_sighting
{
    std::uint64_t service = 0; ///< hash of its name
    std::uint64_t software = 0;
    std::int64_t age_us = 0; ///< time since a server was last listed with it

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->service, this->software, this->age_us);
    }
};

enum class origin_message_kind : std::uint8_t
{
    records = 0, ///< streams that have begun; not answered
    query = 1,   ///< asks for the origin of a stream
    answer = 2,
    start = 3 ///< the sender has just started; answered with what it needs
};

/// A message between routers about the origins of streams.
struct origin_message
{
    /// The registry is not known.
    static constexpr std::int64_t never = -1;

    std::string router;
    origin_message_kind kind = origin_message_kind::records;
    std::uint64_t number = 0; ///< of the query, also in its answer
    std::uint64_t stream = 0; ///< asked for; 0: only the sightings are
    std::vector<origin_record> records;
    /// Time for which the sightings are complete.
    std::int64_t observed_us = 0;
    /// Age of the sender's registry, or `never`.
    std::int64_t registry_age_us = never;
    std::vector<software_sighting> sightings;

    template <class Archive>
    void serialize(Archive& archive)
    {
        auto code = static_cast<std::uint8_t>(this->kind);
        archive(code, this->records);
        this->kind = static_cast<origin_message_kind>(code);
        // Most messages are records, which need nothing else.
        if (this->kind == origin_message_kind::records)
            return;
        archive(
            this->router,
            this->number,
            this->stream,
            this->observed_us,
            this->registry_age_us,
            this->sightings);
    }
};

} // namespace roseworks
