#include "tools/common/tls_options.hpp"

#include "tools/common/exit_code.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace roseworks::tools
{

namespace leaf = boost::leaf;

namespace
{

constexpr const char* certificate_option = "certificate-file";
constexpr const char* key_option = "certificate-key-file";

std::string ca_option(const std::string& server)
{
    return server + "-ca-file";
}

std::string
text_of(const cxxopts::ParseResult& arguments, const std::string& option)
{
    return arguments.count(option) == 0 ? std::string()
                                        : arguments[option].as<std::string>();
}

std::string
option_of(tls::certificate_error::role of, const std::string& server)
{
    switch (of)
    {
    case tls::certificate_error::role::key:
        return key_option;
    case tls::certificate_error::role::trusted:
        return ca_option(server);
    case tls::certificate_error::role::certificate:
        break;
    }
    return certificate_option;
}

} // namespace

void add_ca_option(cxxopts::OptionAdder& options, const std::string& server)
{
    options(
        ca_option(server),
        "PEM file of who signs the " + server +
            "'s certificate; without it, plain HTTP",
        cxxopts::value<std::string>());
}

void add_certificate_options(cxxopts::OptionAdder& options)
{
    options(
        certificate_option,
        "PEM file of the certificate shown over TLS",
        cxxopts::value<std::string>());
    options(
        key_option,
        "PEM file of that certificate's key",
        cxxopts::value<std::string>());
}

leaf::result<tls_contexts_ptr>
load_tls(const cxxopts::ParseResult& arguments, const std::string& server)
{
    const std::string trusted = text_of(arguments, ca_option(server));
    if (trusted.empty())
        return tls_contexts_ptr();
    return leaf::try_handle_some(
        [&]
        {
            return tls::context_source::load(
                tls::side::client,
                {text_of(arguments, certificate_option),
                 text_of(arguments, key_option),
                 trusted});
        },
        [&](const tls::certificate_error& error)
            -> leaf::result<tls_contexts_ptr>
        {
            return leaf::new_error(input_error{
                "--" + option_of(error.file_role, server) + ": " + error.file +
                ": " + error.what});
        });
}

} // namespace roseworks::tools
