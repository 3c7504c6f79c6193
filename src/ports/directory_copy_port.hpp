#pragma once

#include "core/dissemination/directory_copy.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace roseworks
{

/// Provides copies of the store's topics. Called on the thread that runs the
/// port.
class directory_copy_source
{
public:
    virtual ~directory_copy_source() = default;

    /// @return The local copy of the topic, or null if there is none. If
    ///         several requests get the same object, it may be serialised once
    ///         for all of them.
    virtual std::shared_ptr<const directory_copy>
    copy_for(const copy_request& request) = 0;

    /// @return Whether a copy would contain records that the requester lacks.
    virtual bool has_newer(const copy_request& request) const = 0;
};

/// Port: exchange of copies of the store's topics between gateways.
class directory_copy_port
{
public:
    using copy_done = std::function<void(std::optional<directory_copy>)>;

    virtual ~directory_copy_port() = default;

    /// Starts to answer requests of other routers.
    virtual void serve(directory_copy_source& source) = 0;

    /// Requests a copy from another router, without a retry.
    /// @param address ip:port that the router announced.
    /// @param done    Called exactly once; empty if no copy came in time.
    virtual void fetch(
        std::string_view address,
        const copy_request& request,
        copy_done done) = 0;

    /// There are new records: requests that are held may be answered now.
    virtual void data_changed() = 0;

    /// Stops answering requests. No completion is called after this.
    virtual void stop() = 0;
};

} // namespace roseworks
