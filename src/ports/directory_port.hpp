#pragma once

#include "core/dissemination/directory_update.hpp"
#include "core/origins/registry_log.hpp"
#include "core/serving/deployment.hpp"
#include "core/serving/server_entry.hpp"
#include "ports/directory_copy_port.hpp"

#include <roseworks/instant.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// Ownership of placement: the right to send orders to the deployment's
/// engines.
struct placement_tenure
{
    std::uint64_t fence = 0; ///< higher than that of all earlier owners
    instant until;           ///< no orders are sent later, unless renewed
};

/// A router, as it announced itself in the store.
struct router_address
{
    std::string name;
    std::string address; ///< UDP ip:port
    /// Capacity of its VM; 1 stands for a quarter of a core and 100 Mbit/s.
    double capacity = 1;
    std::string data_centre; ///< empty if not announced

    bool operator==(const router_address&) const = default;
};

/// Receives the content of the platform's store, and changes of placement
/// ownership. Called on the thread that runs the port.
class directory_listener
{
public:
    virtual ~directory_listener() = default;

    virtual void
    deployment_read(std::shared_ptr<const deployment> configuration) = 0;

    /// @param stale Whether another router is known to have a newer
    ///              configuration than this one.
    virtual void deployment_staleness_changed(bool stale) = 0;

    /// A full read of the registry has completed.
    virtual void servers_listed(std::vector<server_entry> all) = 0;
    virtual void server_read(server_entry entry) = 0;
    virtual void server_removed(std::string_view id) = 0;

    /// All routers that have ever announced themselves, without those that
    /// were replaced.
    virtual void routers_listed(std::vector<router_address> all) = 0;

    /// @param held Empty if this router doesn't own placement or can't renew
    ///             its ownership.
    virtual void tenure_changed(std::optional<placement_tenure> held) = 0;

    /// This router has lost ownership, or has resigned, though the store may
    /// not have answered yet. The other routers have to be notified, so that
    /// one of them acquires ownership.
    virtual void ownership_ended() = 0;

    /// The term has expired without a renewal, and another router may own
    /// placement by now. If none does, this router's next tenure has the same
    /// fencing number.
    virtual void term_ended() = 0;

    /// Several calls in a row got no answer from the store.
    virtual void store_unreachable() = 0;

    /// The store answers again.
    virtual void store_reachable() = 0;

    /// An outage of the store has ended, in which entries of the registry may
    /// have expired though their servers live.
    /// @param end When it ended, which may be up to some seconds ago.
    virtual void store_outage_ended(instant end) = 0;

    /// The latest outage was not one of the store: other routers had answers.
    virtual void store_outage_refuted() = 0;

    /// This router has read an update from the store. It has to be sent to the
    /// other routers, which then needn't read it themselves.
    virtual void store_read(const directory_update& update) = 0;
};

/// Port: the store that the platform offers to all routers. Also the source of
/// the copies that other routers request.
class directory_port : public directory_copy_source
{
public:
    /// Starts to read the store, to announce this router and to apply for
    /// ownership of placement.
    virtual void start(directory_listener& listener) = 0;

    /// Sets whether an owner is known. Routers apply for ownership only while
    /// none is.
    virtual void set_owner_known(bool known) = 0;

    /// Sets whether this router may own placement. One that may not releases
    /// ownership at once and doesn't apply for it.
    virtual void set_may_own(bool may_own) = 0;

    /// Another router sent an update that it has read from the store.
    virtual void apply_peer_update(const directory_update& update) = 0;

    /// Receives the writes that the registry still has; empty if they can't be
    /// read.
    using log_handler = std::function<void(std::optional<registry_log>)>;

    /// Reads the past of the registry from the store.
    virtual void read_registry_log(log_handler on_read) = 0;

    /// @return Time since the registry was known to be complete; empty if it
    ///         never was.
    virtual std::optional<duration> registry_age() const = 0;

    /// Another router owns placement with the given fencing number. If the
    /// number is higher than that of this router's tenure, this router doesn't
    /// renew: after a partition from the store, a renewal would take the
    /// ownership back from the new owner.
    virtual void other_owner_detected(std::uint64_t fence) = 0;

    /// Releases ownership, so that the next owner needn't wait for the term to
    /// expire.
    virtual void resign() = 0;

    /// Cancels all calls. The listener isn't called after this.
    virtual void stop() = 0;
};

} // namespace roseworks
