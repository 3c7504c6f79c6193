#include "standins/common/program.hpp"

#include "standins/common/json_fields.hpp"
#include "standins/common/server.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <exception>
#include <iostream>

namespace roseworks::standins
{

namespace
{

constexpr int exit_usage = 2;

std::string printed_label(std::string_view label)
{
    return label == "listen" ? "listening" : std::string(label);
}

void serve_until_signal(
    service& handler,
    const asio::ip::tcp::endpoint& endpoint,
    std::string_view label)
{
    asio::io_context context(1);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&context](const boost::system::error_code&, int)
        {
            context.stop();
        });
    handler.start(context);
    const server http_server(context, endpoint, handler);
    announce(printed_label(label), http_server.port());
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
        text_value("127.0.0.1:0"));
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
        const std::unique_ptr<service> handler = factory(arguments);
        serve_until_signal(*handler, endpoint, label);
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << options.program() << ": " << error.what() << '\n';
        return exit_usage;
    }
}

} // namespace roseworks::standins
