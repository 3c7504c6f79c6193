#pragma once

#include "core/recovery/control_context.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace roseworks::detail
{

/** Watches the platform's VM list.

    A VM counts as gone when the list had it and lacked it in two successive
    readings. For a router that is written down as proof that its process is
    dead, by the router that rendezvous hashing names. Only a session during
    which the list had the VM can be gone with it: a process that starts under
    a name that the lagging list doesn't show yet, or no longer, is left alone
    until the list has shown it once.
*/
class vm_watch
{
public:
    /// A list was read.
    void listed(std::span<const vm_entry> vms);

    /// Write down the routers that are gone.
    void step(const control_context& context, std::string_view own_name);

    bool gone(std::string_view vm) const;
    bool leaving(std::string_view vm) const;

private:
    struct sighting
    {
        bool leaving = false;
        unsigned missing = 0; ///< successive lists without it
    };

    bool listed_now(std::string_view vm) const;
    void forget_ended(const fleet_state& state);
    void
    report_gone(const control_context& context, const session_view& session);

    std::map<std::string, sighting, std::less<>> seen;
    std::map<session_id, std::uint64_t> reported;
    std::set<session_id> listed_during; ///< sessions whose VM the list had
};

} // namespace roseworks::detail
