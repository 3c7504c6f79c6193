#pragma once

#include "adapters/tls/context_source.hpp"
#include "adapters/tls/secure_stream.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace roseworks::tls
{

/// A handshake with a server that failed: nothing was sent to it.
struct handshake_failure
{
    std::string address; ///< ip:port
    /// The file that decided; empty: none did.
    std::optional<certificate_error::role> of;
    std::string reason;
};

/** Secures connections towards one kind of server.

    A server is known by its IP number: its certificate has to name it and to be
    signed by somebody trusted. Thread-safe.
*/
class connector
{
public:
    using report = std::function<void(const handshake_failure&)>;

    /** @param contexts Trusted certificates, and the own where there is one;
                        has to outlive the connector.
        @param failed   Told of a failure, on the connection's thread; once for
                        each address and reason until a handshake succeeds. */
    connector(const context_source& contexts, report failed);

    /// Does the handshake on a connected stream, within its `expires_after`.
    /// @return Whether it is secured.
    boost::asio::awaitable<bool> secure(secure_stream& stream) const;

private:
    void succeeded(const std::string& address) const;
    void failed(handshake_failure what) const;

    const context_source& source;
    report tell;
    mutable std::mutex mutex;
    mutable std::map<std::string, std::string> told; ///< reasons by address
};

} // namespace roseworks::tls
