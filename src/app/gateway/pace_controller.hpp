#pragma once

#include "adapters/edge/shared_dispatcher.hpp"
#include "core/crashes/server_life.hpp"
#include "core/pace/announced_paces.hpp"
#include "core/pace/pace_observer.hpp"
#include "core/pace/stream_timer.hpp"
#include "core/serving/serving_view.hpp"
#include "core/swapping/peer_messages.hpp"
#include "ports/clock.hpp"

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::app
{

/** Collects the times that this router measures for the placement owner, and
    passes the owner's estimates to the dispatcher.

    Used on the control thread only, except for `measured`.
*/
class pace_controller
{
public:
    pace_controller(
        const clock_port& clock,
        const serving_view& view,
        edge::shared_dispatcher& dispatch);

    /// A stream of an engine was relayed. Called from any thread.
    void measured(
        std::string_view servable, server_life run, const stream_timer& times);

    /// @return The times measured since the last call. Empty if that was less
    ///         than a second ago.
    std::vector<pace_sample> take_samples();

    /// The placement owner announced the pace of some engines.
    void announced(const owner_announcement& message);

    /// An engine may have been replaced by another run.
    void servers_changed();

private:
    void apply(const std::string& engine);

    const clock_port& clock;
    const serving_view& view;
    edge::shared_dispatcher& dispatch;
    announced_paces paces;
    instant last_taken;
    std::mutex mutex;       ///< protects `observer`
    pace_observer observer; ///< of this router
};

} // namespace roseworks::app
