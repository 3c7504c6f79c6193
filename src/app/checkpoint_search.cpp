#include "app/checkpoint_search.hpp"

#include <roseworks/codec.hpp>
#include <roseworks/record.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <utility>
#include <variant>

namespace roseworks::app
{

namespace leaf = boost::leaf;

checkpoint_search::checkpoint_search(log_offset oldest)
    : first(oldest)
{
}

void checkpoint_search::look(std::span<const log_entry> entries)
{
    for (const log_entry& entry : entries)
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(value, decode(entry.bytes));
                const auto* part =
                    std::get_if<checkpoint_chunk>(&value.payload);
                if (part == nullptr)
                    return {};
                if (auto whole = this->assembler.add(*part))
                    this->keep(std::move(*whole));
                return {};
            },
            // The fold skips what can't be decoded; so does the search.
            [] {});
    }
}

std::optional<checkpoint_search::found> checkpoint_search::take()
{
    if (!this->newest)
        return {};
    checkpoint whole = std::move(*this->newest);
    this->newest.reset();
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<found>>
        {
            BOOST_LEAF_AUTO(state, restore_checkpoint(whole));
            return found{std::move(whole), std::move(state)};
        },
        []
        {
            return std::optional<found>();
        });
}

void checkpoint_search::keep(checkpoint whole)
{
    const bool tail_is_kept = whole.at.value + 1 >= this->first.value;
    if (!tail_is_kept)
        return;
    if (!this->newest || this->newest->at < whole.at)
        this->newest = std::move(whole);
}

} // namespace roseworks::app
