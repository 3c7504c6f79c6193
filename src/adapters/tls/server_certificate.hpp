#pragma once

#include "adapters/tls/secure_stream.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace roseworks::tls
{

/// LEAF error object: a file that can't be used.
struct certificate_error
{
    enum class role : std::uint8_t
    {
        certificate,
        key
    };

    role of = role::certificate;
    std::string file;
    std::string what;
};

/// PEM files of a server's identity.
struct certificate_files
{
    std::string certificate; ///< the chain, the server's own first
    std::string key;         ///< not encrypted
};

/** The certificate that a listening port shows, reloaded from its files.

    TLS 1.2 and 1.3, ALPN `http/1.1`. Open connections keep the certificate
    which they began with; new ones get the newest that could be read. Thread-
    safe.
*/
class server_certificate
{
public:
    /** Read the files.

        @param files Their names.
        @return      The certificate, or a `certificate_error`: a file can't be
                     read or isn't PEM, or the key is of another certificate.
    */
    static boost::leaf::result<std::unique_ptr<server_certificate>>
    load(certificate_files files);

    /// @return The context for a new connection, never null.
    context_ptr current() const;

    /** Read the files again. Where they can't be used, the old ones stay.

        @return Whether the certificate was replaced, or a `certificate_error`.
                The same unusable files are an error once.
    */
    boost::leaf::result<bool> reload();

private:
    explicit server_certificate(certificate_files names);

    certificate_files files;
    std::string last_read; ///< both files' text at the last attempt
    mutable std::mutex mutex;
    context_ptr context;
};

} // namespace roseworks::tls
