#pragma once

#include "adapters/tls/secure_stream.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace roseworks::tls
{

/// LEAF error object: a certificate or key file that cannot be used.
struct certificate_error
{
    enum class role : std::uint8_t
    {
        certificate,
        key,
        trusted
    };

    role file_role = role::certificate;
    std::string file;
    std::string what;
};

/// The PEM files of one side of connections.
struct certificate_files
{
    std::string certificate; ///< the certificate chain, leaf first
    std::string key;         ///< its private key, not encrypted
    std::string trusted;     ///< authorities trusted to sign the peer's
};

/// The side of a connection that a context is for.
enum class side : std::uint8_t
{
    server, ///< needs a certificate; with `trusted`, requires the client's too
    client  ///< needs `trusted`; presents a certificate if it has one
};

/** Creates TLS contexts from files that may be replaced at any time.

    Supports TLS 1.2 and 1.3 and ALPN `http/1.1`. An open connection keeps the
    context with which it began; a new one gets the latest context that could be
    loaded. Thread-safe, but only one thread may call `reload` at a time.
*/
class context_source
{
public:
    /** Loads the files.

        @param local_side The side of connections that the files are for.
        @param files      The paths of the files; empty where there is no file.
        @return           The source, or a `certificate_error` if a file cannot
                          be read or is not PEM, if the key does not match the
                          certificate, if all trusted certificates have expired
                          or if a client's certificate has expired.
    */
    static boost::leaf::result<std::unique_ptr<context_source>>
    load(side local_side, certificate_files files);

    /// @return The context for a new connection, never null.
    context_ptr current() const;

    /** Reads the files again and, if their contents changed, replaces the
        context. If they cannot be used, the previous context stays.

        @return Whether the context was replaced, or a `certificate_error`.
                Unusable contents are reported once; while they are unchanged,
                later calls return false.
    */
    boost::leaf::result<bool> reload();

    const certificate_files& file_paths() const
    {
        return this->files;
    }

private:
    context_source(side local_side, certificate_files paths);

    const side local_side;
    const certificate_files files;
    std::string last_contents; ///< contents of all files at the last attempt
    mutable std::mutex mutex;
    context_ptr context;
};

} // namespace roseworks::tls
