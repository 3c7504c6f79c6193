#pragma once

#include "core/dissemination/directory_update.hpp"
#include "core/serving/deployment.hpp"
#include "core/serving/server_entry.hpp"
#include "ports/directory_copy_port.hpp"

#include <roseworks/instant.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// The right to order the deployment's engines.
struct placement_tenure
{
    std::uint64_t fence = 0; ///< higher than that of any owner before
    instant until;           ///< no order is sent later, unless renewed
};

/// Another router, as it announced itself.
struct router_address
{
    std::string name;
    std::string address; ///< UDP ip:port
    /// What its VM can carry, 1 for a quarter of a core with 100 Mbit/s.
    double capacity = 1;
    std::string data_centre; ///< empty: it didn't say

    bool operator==(const router_address&) const = default;
};

/// Receives what the platform's store keeps, on the thread that runs the port.
class directory_listener
{
public:
    virtual ~directory_listener() = default;

    virtual void
    deployment_read(std::shared_ptr<const deployment> configuration) = 0;

    /// Whether another router is known to have a newer configuration, which
    /// this one hasn't got yet.
    virtual void deployment_behind(bool behind) = 0;

    /// The registry was read whole.
    virtual void servers_listed(std::vector<server_entry> all) = 0;
    virtual void server_read(server_entry entry) = 0;
    virtual void server_removed(std::string_view id) = 0;

    /// The routers that ever announced themselves, but for those replaced.
    virtual void routers_listed(std::vector<router_address> all) = 0;

    /// Empty: this router doesn't own placement, or can't renew.
    virtual void tenure_changed(std::optional<placement_tenure> held) = 0;

    /// Ownership that this router gave up is free for another.
    virtual void ownership_left() = 0;

    /// The term has ended without a renewal: another router may own placement
    /// by now. Should none, the next tenure has the same fencing number.
    virtual void term_ended() = 0;

    /// No call is answered any more, or one is again.
    virtual void directory_lost() = 0;
    virtual void directory_back() = 0;

    /// Another router found the store back after it was away.
    virtual void registry_back() = 0;

    /// This router has read the store: the others are to be told, so that they
    /// needn't.
    virtual void store_read(const directory_update& word) = 0;
};

/// Port: the store that the platform offers to all routers. Gives copies of
/// what it knows to other routers.
class directory_port : public directory_copy_source
{
public:
    /// Starts to read, to announce this router and to apply for ownership.
    virtual void start(directory_listener& listener) = 0;

    /// Whether an owner is heard of: routers apply for ownership only while
    /// there is none.
    virtual void owner_heard(bool heard) = 0;

    /// Another router told what it has read of the store.
    virtual void word_heard(const directory_update& word) = 0;

    /// Another router owns placement under a fencing number. If it is a later
    /// one than its own, this router doesn't renew: after a cut from the store
    /// that would move the ownership back.
    virtual void another_owns(std::uint64_t fence) = 0;

    /// Gives ownership up, so that the next router needn't wait for its term.
    virtual void resign() = 0;

    /// Ends all calls; nothing is called any more.
    virtual void stop() = 0;
};

} // namespace roseworks
