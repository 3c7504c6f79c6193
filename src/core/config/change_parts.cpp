#include <roseworks/change_parts.hpp>

#include <boost/leaf/error.hpp>

#include <utility>

namespace roseworks
{

namespace
{

/// HMAC-SHA256.
constexpr std::size_t signature_bytes = 32;

std::size_t record_bytes(config_change change)
{
    change.signature.resize(signature_bytes);
    record value;
    value.payload = std::move(change);
    return encode(value).size();
}

/// The same author and note, without changes.
config_change empty_part(const config_change& whole)
{
    config_change part;
    part.author = whole.author;
    part.note = whole.note;
    return part;
}

} // namespace

boost::leaf::result<std::vector<config_change>>
split_change(config_change whole, std::size_t max_bytes)
{
    const config_change frame = empty_part(whole);
    const std::size_t frame_bytes = record_bytes(frame);
    std::vector<config_change> parts{frame};
    std::size_t used = frame_bytes;
    for (entity_change& entity : whole.changes)
    {
        config_change alone = frame;
        alone.changes.push_back(entity);
        const std::size_t alone_bytes = record_bytes(std::move(alone));
        if (alone_bytes > max_bytes)
        {
            return boost::leaf::new_error(
                oversized_entity{entity.kind, entity.name, alone_bytes});
        }
        // Entities follow one another in a record, so that sizes add up.
        const std::size_t bytes = alone_bytes - frame_bytes;
        if (used + bytes > max_bytes)
        {
            parts.push_back(frame);
            used = frame_bytes;
        }
        used += bytes;
        parts.back().changes.push_back(std::move(entity));
    }
    return parts;
}

} // namespace roseworks
