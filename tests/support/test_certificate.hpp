#pragma once

#include <filesystem>
#include <string>

namespace roseworks::test
{

/** A self-signed certificate and its key as PEM files, made by OpenSSL; for
    tests. The files are removed with the object.
*/
class test_certificate
{
public:
    /// @param name Common name; part of the files' names.
    explicit test_certificate(const std::string& name);
    ~test_certificate();
    test_certificate(const test_certificate&) = delete;
    test_certificate& operator=(const test_certificate&) = delete;

    /// Writes another certificate, with its key, to the same files.
    void replace(const std::string& name) const;

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
