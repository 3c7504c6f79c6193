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
        key,
        trusted
    };

    role of = role::certificate;
    std::string file;
    std::string what;
};

/// PEM files of one end of connections.
struct certificate_files
{
    std::string certificate; ///< the chain, the end's own first
    std::string key;         ///< not encrypted
    std::string trusted;     ///< who may have signed the other end's
};

/// Which end of its connections a context is for.
enum class side : std::uint8_t
{
    server, ///< needs a certificate; with `trusted` asks for the client's, too
    client  ///< needs `trusted`; shows a certificate where it has one
};

/** Makes TLS contexts from files that may be replaced at any time.

    TLS 1.2 and 1.3, ALPN `http/1.1`. Open connections keep the context which
    they began with; new ones get the newest that could be read. Thread-safe.
*/
class context_source
{
public:
    /** Read the files.

        @param end   The end they are for.
        @param files Their names; empty: none.
        @return      The source, or a `certificate_error`: a file can't be read
                     or isn't PEM, the key is of another certificate, or, at the
                     client's end, what it would use has expired.
    */
    static boost::leaf::result<std::unique_ptr<context_source>>
    load(side end, certificate_files files);

    /// @return The context for a new connection, never null.
    context_ptr current() const;

    /** Read the files again. Where they can't be used, the old ones stay.

        @return Whether the context was replaced, or a `certificate_error`. The
                same unusable files are an error once.
    */
    boost::leaf::result<bool> reload();

    const certificate_files& names() const
    {
        return this->files;
    }

private:
    context_source(side end, certificate_files names);

    const side end;
    const certificate_files files;
    std::string last_read; ///< all files' text at the last attempt
    mutable std::mutex mutex;
    context_ptr context;
};

} // namespace roseworks::tls
