#pragma once

#include "core/dissemination/text_change.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// A version of the configuration as a change of the version before it.
struct configuration_change
{
    std::uint64_t offset = 0; ///< of the record of this version
    text_change text;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->offset, this->text);
    }
};

/** The newest configuration as stored, and the changes that led to it.

    The changes are kept to be passed on: what a version costs on the links of
    other routers then depends on what changed, not on the size of the record.
*/
class configuration_history
{
public:
    struct options
    {
        /// Changes that are kept. A router that is further behind gets the
        /// whole configuration.
        std::size_t max_changes = 16;
        /// Maximum size of a configuration that changes result in.
        std::size_t max_bytes = std::size_t(32) << 20;
    };

    explicit configuration_history(options settings);

    /// The whole configuration was read.
    /// @return The change from the version before; empty if there was none.
    std::optional<configuration_change>
    replace(std::string text, std::uint64_t offset);

    /// @return The configuration that the changes, in order, lead to. Empty if
    ///         they don't apply to the known one.
    std::optional<std::string>
    preview(std::span<const configuration_change> changes) const;

    /// The configuration that `preview` returned is in force.
    void apply(std::string text, std::span<const configuration_change> changes);

    /// @return The changes after the version with this digest. Empty if they
    ///         are not known, or take more bytes than the whole configuration.
    std::vector<configuration_change> since(std::uint64_t digest) const;

    std::string_view text() const
    {
        return this->current;
    }

    std::uint64_t offset() const
    {
        return this->current_offset;
    }

    /// @return 0 before the first configuration.
    std::uint64_t digest() const
    {
        return this->current_digest;
    }

private:
    void add(configuration_change change);

    options settings;
    std::string current;
    std::uint64_t current_offset = 0;
    std::uint64_t current_digest = 0;
    std::deque<configuration_change>
        changes; ///< each applies to the one before
};

/// @return The encoded size of a change, approximately.
std::size_t bytes_of(const configuration_change& change);

} // namespace roseworks
