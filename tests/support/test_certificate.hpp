#pragma once

#include <filesystem>
#include <string>

namespace roseworks::test
{

/// What a certificate says beside its name.
struct certificate_terms
{
    std::string ip = "127.0.0.1"; ///< subject alternative name
    bool expired = false;
};

/** A self-signed certificate and its key as PEM files, made by OpenSSL; for
    tests. The certificate's file is a file of trusted ones, too. The files are
    removed with the object.
*/
class test_certificate
{
public:
    /// @param name Common name; part of the files' names.
    /// @param terms What it says.
    explicit test_certificate(
        const std::string& name, const certificate_terms& terms = {});
    ~test_certificate();
    test_certificate(const test_certificate&) = delete;
    test_certificate& operator=(const test_certificate&) = delete;

    /// Writes another certificate, with its key, to the same files.
    void
    replace(const std::string& name, const certificate_terms& terms = {}) const;

    /// @return The certificate's text.
    std::string text() const;

    const std::string& certificate() const
    {
        return this->certificate_file;
    }

    const std::string& key() const
    {
        return this->key_file;
    }

private:
    std::string certificate_file;
    std::string key_file;
};

} // namespace roseworks::test
