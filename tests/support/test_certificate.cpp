#include "tests/support/test_certificate.hpp"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <unistd.h>

namespace roseworks::test
{

namespace
{

constexpr long an_hour = 3600;
constexpr long version_3 = 2;

using pkey_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using x509_ptr = std::unique_ptr<X509, decltype(&X509_free)>;
using file_ptr = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

file_ptr open_file(const std::string& path)
{
    file_ptr file(std::fopen(path.c_str(), "w"), &std::fclose);
    if (!file)
        throw std::runtime_error("can't write " + path);
    return file;
}

void add_ip(X509* to, const std::string& ip)
{
    const std::string value = "IP:" + ip;
    X509_EXTENSION* const made = X509V3_EXT_conf_nid(
        nullptr, nullptr, NID_subject_alt_name, value.c_str());
    if (made == nullptr)
        throw std::runtime_error("not an IP number: " + ip);
    X509_add_ext(to, made, -1);
    X509_EXTENSION_free(made);
}

x509_ptr self_signed(
    EVP_PKEY* key, const std::string& name, const certificate_terms& terms)
{
    x509_ptr made(X509_new(), &X509_free);
    X509_set_version(made.get(), version_3);
    ASN1_INTEGER_set(X509_get_serialNumber(made.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(made.get()), -2 * an_hour);
    X509_gmtime_adj(
        X509_getm_notAfter(made.get()), terms.expired ? -an_hour : an_hour);
    X509_set_pubkey(made.get(), key);
    X509_NAME* const subject = X509_get_subject_name(made.get());
    X509_NAME_add_entry_by_txt(
        subject,
        "CN",
        MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>(name.c_str()),
        -1,
        -1,
        0);
    X509_set_issuer_name(made.get(), subject);
    add_ip(made.get(), terms.ip);
    if (X509_sign(made.get(), key, EVP_sha256()) == 0)
        throw std::runtime_error("can't sign a test certificate");
    return made;
}

} // namespace

test_certificate::test_certificate(
    const std::string& name, const certificate_terms& terms)
{
    const auto stem = (std::filesystem::temp_directory_path() /
                       ("roseworks-" + name + "-" + std::to_string(getpid())))
                          .string();
    this->certificate_file = stem + "-cert.pem";
    this->key_file = stem + "-key.pem";
    this->replace(name, terms);
}

test_certificate::~test_certificate()
{
    std::error_code ignored;
    std::filesystem::remove(this->certificate_file, ignored);
    std::filesystem::remove(this->key_file, ignored);
}

std::string test_certificate::text() const
{
    std::ifstream in(this->certificate_file);
    return {std::istreambuf_iterator<char>(in), {}};
}

void test_certificate::replace(
    const std::string& name, const certificate_terms& terms) const
{
    const pkey_ptr key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
    const x509_ptr made = self_signed(key.get(), name, terms);
    const file_ptr certificate = open_file(this->certificate_file);
    PEM_write_X509(certificate.get(), made.get());
    const file_ptr secret = open_file(this->key_file);
    PEM_write_PrivateKey(
        secret.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
}

} // namespace roseworks::test
