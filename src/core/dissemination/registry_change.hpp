#pragma once

#include "core/serving/server_entry.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// What an engine holds as one short text: most changes are of that.
std::string pack(std::span<const resident_model> models);

/// @return What was packed; of other text, whatever names are in it.
std::vector<resident_model> unpack(std::string_view text);

/// A change of the registry of backend servers that matters to routing.
struct registry_change
{
    enum class kind : std::uint8_t
    {
        whole, ///< the entry is new, or more than its models changed
        models,
        gone
    };

    std::uint64_t offset = 0; ///< the registry's number of it
    kind what = kind::whole;
    /// Only its id counts of one that is gone, and its models where only those
    /// changed. Without the copies of weights that an engine keeps: they are
    /// long, and only the placement owner uses them, which reads them itself.
    server_entry entry;

    /// @return Its size in a word, about.
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

} // namespace roseworks
