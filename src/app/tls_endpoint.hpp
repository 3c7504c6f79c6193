#pragma once

#include "adapters/tls/connector.hpp"
#include "adapters/tls/context_source.hpp"
#include "app/file_watch.hpp"
#include "ports/event_sink.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::app
{

/// The TLS contexts of the settings' sections; null: plain HTTP.
struct tls_contexts
{
    std::unique_ptr<tls::context_source> callers;
    std::unique_ptr<tls::context_source> backends;
    std::unique_ptr<tls::context_source> platform;
};

/** One section's certificates: kept up to date, and used by connections.

    `watch` runs on one event loop; what `accepting` and `connecting` return is
    used on any thread and lives as long as the object.
*/
class tls_endpoint
{
public:
    /** @param executor Where files are read again.
        @param section  Of the settings; named in events.
        @param contexts Null: plain HTTP.
        @param events   Told of replaced and unusable files, and of handshakes
                        that failed; thread-safe. */
    tls_endpoint(
        const boost::asio::any_io_executor& executor,
        std::string_view section,
        std::unique_ptr<tls::context_source> contexts,
        event_sink& events);

    /// @return Gives the context for a new caller; empty for plain HTTP.
    std::function<tls::context_ptr()> accepting() const;

    /// @return Secures connections to servers; null for plain HTTP.
    const tls::connector* connecting() const;

    file_watch& watch()
    {
        return this->files;
    }

private:
    file_watch::handlers make_handlers();
    boost::leaf::result<bool> reload();
    void handshake_failed(const tls::handshake_failure& what) const;

    const std::string section;
    std::unique_ptr<tls::context_source> source;
    event_sink& events;
    std::optional<tls::connector> connector;
    file_watch files;
};

/// @return The key of the setting that names a file.
std::string_view setting_of(tls::certificate_error::role of);

} // namespace roseworks::app
