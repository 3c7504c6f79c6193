#pragma once

#include "core/dissemination/directory_copy.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace roseworks
{

/// Knows topics of the store, on the thread that runs the port.
class directory_copy_source
{
public:
    virtual ~directory_copy_source() = default;

    /// @return What is known here; null when nothing of the topic is. The same
    ///         object for several asks may be written once for all.
    virtual std::shared_ptr<const directory_copy>
    copy_for(const copy_request& ask) = 0;
};

/// Port: copies of the store's topics between the gateways.
class directory_copy_port
{
public:
    using copy_done = std::function<void(std::optional<directory_copy>)>;

    virtual ~directory_copy_port() = default;

    /// Answers other routers from now on.
    virtual void serve(directory_copy_source& source) = 0;

    /// Asks another router once.
    /// @param address ip:port, as the router announced itself.
    /// @param done    Called once; with nothing when it gave none in time.
    virtual void fetch(
        std::string_view address, const copy_request& ask, copy_done done) = 0;

    /// Nothing is answered or called any more.
    virtual void stop() = 0;
};

} // namespace roseworks
