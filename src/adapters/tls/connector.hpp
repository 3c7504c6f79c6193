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

/// A failed handshake with a server. No application data was sent to it.
struct handshake_failure
{
    std::string address; ///< ip:port
    /// The local certificate file involved in the failure; empty if none is.
    std::optional<certificate_error::role> file_role;
    std::string reason;
};

/** Performs the client's side of TLS handshakes with one kind of server.

    A server is identified by its IP address: its certificate must contain the
    address and must be signed by a trusted certificate. Thread-safe.
*/
class connector
{
public:
    using failure_handler = std::function<void(const handshake_failure&)>;

    /** @param contexts The trusted certificates and, if configured, the
                        client's own. Must outlive the connector.
        @param handler  Called on the connection's thread when a handshake
                        fails, unless the previous failure of that address had
                        the same reason. A successful handshake resets this. */
    connector(const context_source& contexts, failure_handler handler);

    /// Performs the handshake on a connected stream, within the time limit set
    /// by its `expires_after`.
    /// @return Whether the stream is secured.
    boost::asio::awaitable<bool> secure(secure_stream& stream) const;

private:
    void record_success(const std::string& address) const;
    void record_failure(handshake_failure failure) const;

    const context_source& source;
    failure_handler on_failure;
    mutable std::mutex mutex;
    /// The reason of the last reported failure, by address.
    mutable std::map<std::string, std::string> last_reasons;
};

} // namespace roseworks::tls
