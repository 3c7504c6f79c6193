#pragma once

#include "adapters/tls/server_certificate.hpp"
#include "ports/event_sink.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace roseworks::app
{

/// Reads the callers' certificate again from time to time, and tells when it
/// was replaced or can't be used. Runs on one event loop.
class certificate_watch
{
public:
    static constexpr std::chrono::seconds reload_interval{5};

    /** @param executor    Where it runs.
        @param certificate What is reloaded; null: nothing.
        @param events      Receives what became of it. */
    certificate_watch(
        const boost::asio::any_io_executor& executor,
        std::unique_ptr<tls::server_certificate> certificate,
        event_sink& events);

    /// Reloads from now on, until the event loop ends.
    void start();

    /// @return Gives the certificate for a new caller, on any thread; empty
    ///         for plain HTTP.
    std::function<tls::context_ptr()> source() const;

private:
    void arm();
    void reload();

    std::unique_ptr<tls::server_certificate> shown;
    event_sink& events;
    boost::asio::steady_timer timer;
    std::string last_problem; ///< told already
};

/// @return The setting that names a file.
std::string_view setting_of(tls::certificate_error::role of);

} // namespace roseworks::app
