#pragma once

#include "core/serving/server_entry.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace roseworks
{

/// Encodes the models of an engine as a short text, since most changes of the
/// registry are changes of models.
std::string pack(std::span<const resident_model> models);

/// Decodes a text made by `pack`. Any other text gives the names that can be
/// found in it.
std::vector<resident_model> unpack(std::string_view text);

/// A change of the registry of backend servers that affects routing.
struct registry_change
{
    enum class kind : std::uint8_t
    {
        whole, ///< the entry is new, or more than its models changed
        models,
        gone
    };

    std::uint64_t offset = 0; ///< of the change in the registry topic
    kind what = kind::whole;
    /// For `gone`, only the id is valid; for `models`, the id and the models.
    /// The lists of weight copies on an engine are left out: they are long, and
    /// only the placement owner needs them, which reads them from the store.
    server_entry entry;

    /// @return The approximate encoded size.
    std::size_t bytes() const;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(this->offset, static_cast<std::uint8_t>(this->what));
        archive(this->entry.id);
        if (this->what != kind::gone)
            archive(pack(this->entry.holdings.resident));
        if (this->what == kind::whole)
            archive(
                this->entry.born_ms,
                this->entry.service,
                this->entry.address,
                this->entry.data_centre,
                this->entry.slots,
                this->entry.leaving);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t number = 0;
        archive(this->offset, number);
        archive(this->entry.id);
        this->what = static_cast<kind>(number);
        std::string models;
        if (this->what != kind::gone)
            archive(models);
        this->entry.holdings.resident = unpack(models);
        this->entry.holdings.copies_known = false;
        if (this->what == kind::whole)
            archive(
                this->entry.born_ms,
                this->entry.service,
                this->entry.address,
                this->entry.data_centre,
                this->entry.slots,
                this->entry.leaving);
    }
};

/** Encodes or decodes the versions of the servers' software.

    They follow a list of changes at the end of its message, where routers of
    earlier versions ignore them.
*/
template <class Archive>
void serialize_versions(Archive& archive, std::vector<registry_change>& changes)
{
    constexpr bool is_loading = requires
    {
        archive.remaining();
    };
    std::vector<std::string> versions;
    if constexpr (!is_loading)
    {
        for (const registry_change& change : changes)
            versions.push_back(change.entry.version);
    }
    archive(versions);
    if constexpr (is_loading)
    {
        const std::size_t count = std::min(versions.size(), changes.size());
        for (std::size_t i = 0; i < count; ++i)
            changes[i].entry.version = std::move(versions[i]);
    }
}

} // namespace roseworks
