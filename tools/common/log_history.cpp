#include "tools/common/log_history.hpp"

#include <roseworks/checkpoint.hpp>
#include <roseworks/codec.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace roseworks::tools
{

namespace
{

constexpr std::chrono::milliseconds no_wait{0};

std::optional<record> decode_or_none(std::span<const std::byte> bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<record>>
        {
            BOOST_LEAF_AUTO(value, decode(bytes));
            return std::optional<record>(std::move(value));
        },
        []
        {
            return std::optional<record>();
        });
}

std::optional<fleet_state> restore_or_none(const checkpoint& whole)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<fleet_state>>
        {
            BOOST_LEAF_AUTO(state, restore_checkpoint(whole));
            return std::optional<fleet_state>(std::move(state));
        },
        []
        {
            return std::optional<fleet_state>();
        });
}

} // namespace

log_history::log_history(log_client& client, log_offset last)
    : source(client)
    , limit(last)
{
}

void log_history::observe(history_observer& observer)
{
    this->observers.push_back(&observer);
}

boost::leaf::result<void> log_history::load()
{
    BOOST_LEAF_AUTO(bounds, this->source.status());
    this->next = bounds.first;
    while (this->next < bounds.next && this->next <= this->limit)
    {
        BOOST_LEAF_AUTO(read, this->source.read(this->next, no_wait));
        if (read.empty())
        {
            break;
        }
        for (const log_entry& entry : read)
        {
            this->decode_entry(entry);
        }
    }
    if (bounds.first > log_offset(1))
    {
        BOOST_LEAF_CHECK(this->start_from_checkpoint(bounds.first));
    }
    for (history_entry& entry : this->all)
    {
        this->fold_entry(entry);
    }
    return {};
}

boost::leaf::result<std::size_t>
log_history::read_on(std::chrono::milliseconds wait)
{
    BOOST_LEAF_AUTO(read, this->source.read(this->next, wait));
    for (const log_entry& entry : read)
    {
        const std::size_t before = this->all.size();
        this->decode_entry(entry);
        if (this->all.size() > before)
        {
            this->fold_entry(this->all.back());
        }
    }
    return read.size();
}

const history_entry* log_history::find(log_offset offset) const
{
    const auto found = std::lower_bound(
        this->all.begin(),
        this->all.end(),
        offset,
        [](const history_entry& entry, log_offset wanted)
        {
            return entry.offset < wanted;
        });
    const bool there = found != this->all.end() && found->offset == offset;
    return there ? &*found : nullptr;
}

const history_entry* log_history::find(const record_id& id) const
{
    const auto found = std::find_if(
        this->all.begin(),
        this->all.end(),
        [&id](const history_entry& entry)
        {
            return entry.value && entry.value->id == id;
        });
    return found == this->all.end() ? nullptr : &*found;
}

void log_history::decode_entry(const log_entry& entry)
{
    this->next = log_offset(entry.offset.value + 1);
    if (entry.offset > this->limit)
    {
        return;
    }
    history_entry kept;
    kept.offset = entry.offset;
    kept.value = decode_or_none(entry.data);
    this->all.push_back(std::move(kept));
}

boost::leaf::result<void> log_history::start_from_checkpoint(log_offset first)
{
    checkpoint_assembler assembler;
    for (const history_entry& entry : this->all)
    {
        const auto* chunk =
            entry.value ? std::get_if<checkpoint_chunk>(&entry.value->payload)
                        : nullptr;
        const auto whole =
            chunk == nullptr ? std::nullopt : assembler.add(*chunk);
        if (!whole || whole->at.value + 1 < first.value)
        {
            continue;
        }
        auto state = restore_or_none(*whole);
        if (state)
        {
            this->folded = std::move(*state);
            for (history_observer* observer : this->observers)
            {
                observer->restored(this->folded);
            }
            return {};
        }
    }
    return boost::leaf::new_error(log_error{
        log_error::kind::forgotten,
        "the log forgot its start and holds no complete checkpoint"});
}

void log_history::fold_entry(history_entry& entry)
{
    if (entry.offset <= this->folded.folded())
    {
        return; // within the checkpoint
    }
    for (history_observer* observer : this->observers)
    {
        observer->before_fold(this->folded, entry);
    }
    if (entry.value)
    {
        entry.result = this->folded.apply(entry.offset, *entry.value);
        const auto changes = this->folded.changes();
        entry.changes.assign(changes.begin(), changes.end());
    }
    else
    {
        this->folded.skip(entry.offset);
    }
    for (history_observer* observer : this->observers)
    {
        observer->after_fold(this->folded, entry);
    }
}

} // namespace roseworks::tools
