#pragma once

#include "core/recovery/group_commit.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/fleet_state.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/record.hpp>
#include <roseworks/rendezvous.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace roseworks::detail
{

/// What the controller's parts see and act on during one event.
struct control_context
{
    const fleet_state& state;
    group_commit& commit;
    std::vector<control_command>& out;
    /// Sessions thought alive, this one included when it takes work. A hint.
    std::span<const session_id> alive;
    session_id self;
    instant now;
    stamp_ms wall = 0;
    bool log_available = false;

    /// Queue a record; @return its sequence number.
    std::uint64_t submit(record_payload payload) const
    {
        return this->commit.submit(std::move(payload), this->wall);
    }

    /// @return This session's place among those who could take care of a key.
    std::size_t rank(rendezvous_domain domain, std::uint64_t value) const
    {
        return rendezvous_rank({domain, value}, this->alive, this->self);
    }
};

/// One record as it was folded.
struct fold_event
{
    log_offset offset;
    const record& value;
    const fold_result& result;
    std::span<const state_change> changes;
    /// When this router first handed the record out; empty when it is another
    /// router's, or one of ours seen before.
    std::optional<instant> handed_out;
};

} // namespace roseworks::detail
