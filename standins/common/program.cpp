#include "standins/common/program.hpp"

#include "standins/common/json_fields.hpp"
#include "standins/common/server.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <exception>
#include <iostream>
#include <optional>

namespace roseworks::standins
{

namespace
{

constexpr int exit_usage = 2;

std::string printed_label(std::string_view label)
{
    return label == "listen" ? "listening" : std::string(label);
}

/// Where tests reach a stand-in that speaks TLS to the system.
const asio::ip::tcp::endpoint
    control_endpoint(asio::ip::address_v4::loopback(), 0);

/// @return What the options name, null without a certificate; throws
///         `bad_request`.
std::unique_ptr<tls::context_source>
load_contexts(const cxxopts::ParseResult& arguments)
{
    using loaded = std::unique_ptr<tls::context_source>;
    const tls::certificate_files files{
        arguments["tls-certificate"].as<std::string>(),
        arguments["tls-key"].as<std::string>(),
        arguments["tls-ca"].as<std::string>()};
    if (files.certificate.empty())
    {
        return loaded();
    }
    return boost::leaf::try_handle_all(
        [&]
        {
            return tls::context_source::load(tls::side::server, files);
        },
        [](const tls::certificate_error& error) -> loaded
        {
            throw bad_request(error.file + ": " + error.what);
        },
        []() -> loaded
        {
            throw bad_request("TLS files can't be used");
        });
}

void serve_until_signal(
    service& handler,
    const asio::ip::tcp::endpoint& endpoint,
    std::string_view label,
    tls::context_source* contexts)
{
    asio::io_context context(1);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&context](const boost::system::error_code&, int)
        {
            context.stop();
        });
    handler.start(context);
    const server http_server(context, endpoint, handler, contexts);
    announce(printed_label(label), http_server.port());
    std::optional<server> control;
    if (contexts != nullptr)
    {
        control.emplace(context, control_endpoint, handler);
        announce("control", control->port());
    }
    context.run();
}

} // namespace

cxxopts::Options
make_options(const std::string& name, const std::string& description)
{
    cxxopts::Options options(name, description);
    options.add_options()("h,help", "print this help");
    options.add_options()("version", "print the version");
    return options;
}

std::shared_ptr<cxxopts::Value> text_value(const std::string& fallback)
{
    return cxxopts::value<std::string>()->default_value(fallback);
}

std::shared_ptr<cxxopts::Value> number_value(std::uint64_t fallback)
{
    return cxxopts::value<std::uint64_t>()->default_value(
        std::to_string(fallback));
}

asio::ip::tcp::endpoint parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        throw bad_request("not address:port: " + std::string(text));
    }
    boost::system::error_code error;
    const auto address =
        asio::ip::make_address(std::string(text.substr(0, colon)), error);
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, failure] = std::from_chars(digits.data(), end, port);
    if (error || failure != std::errc() || stop != end)
    {
        throw bad_request("not address:port: " + std::string(text));
    }
    return {address, port};
}

std::set<std::string> split_list(std::string_view text)
{
    std::set<std::string> pieces;
    while (!text.empty())
    {
        const std::string_view piece = text.substr(0, text.find(','));
        if (!piece.empty())
        {
            pieces.emplace(piece);
        }
        text.remove_prefix(std::min(text.size(), piece.size() + 1));
    }
    return pieces;
}

void announce(std::string_view label, std::uint16_t port)
{
    std::cout << label << " 127.0.0.1:" << port << std::endl;
}

int run_program(
    int argc,
    char** argv,
    cxxopts::Options& options,
    std::string_view label,
    const service_factory& factory)
{
    options.add_options()(
        std::string(label),
        "address:port of the HTTP server, port 0 for a free one",
        text_value("127.0.0.1:0"))(
        "tls-certificate",
        "PEM file; the HTTP server then speaks TLS, and a further port that is "
        "printed as control serves plain HTTP",
        text_value(""))(
        "tls-key", "PEM file of the certificate's key", text_value(""))(
        "tls-ca",
        "PEM file of who signs clients, which then have to show a certificate",
        text_value(""));
    try
    {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0)
        {
            std::cout << options.help() << '\n';
            return 0;
        }
        if (arguments.count("version") != 0)
        {
            std::cout << options.program() << ' ' << ROSEWORKS_VERSION << '\n';
            return 0;
        }
        const auto endpoint =
            parse_endpoint(arguments[std::string(label)].as<std::string>());
        const auto contexts = load_contexts(arguments);
        const std::unique_ptr<service> handler = factory(arguments);
        serve_until_signal(*handler, endpoint, label, contexts.get());
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << options.program() << ": " << error.what() << '\n';
        return exit_usage;
    }
}

} // namespace roseworks::standins
