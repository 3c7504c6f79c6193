#include "tools/common/operator_key_file.hpp"
#include "tools/ctl/command.hpp"

#include <charconv>
#include <fstream>
#include <iterator>
#include <utility>

namespace roseworks::tools
{

log_session::log_session(
    const endpoint& server,
    std::chrono::milliseconds timeout,
    tls_contexts_ptr contexts)
    : secured(std::move(contexts))
    , client(server, timeout, this->secured.get())
    , history(this->client)
{
}

command_context::command_context(
    const cxxopts::ParseResult& given, std::ostream& to)
    : out(to)
    , arguments(given)
{
}

std::string command_context::text(const std::string& name) const
{
    const auto& value = this->arguments[name];
    const bool known = value.count() != 0 || value.has_default();
    return known ? value.as<std::string>() : std::string();
}

std::vector<std::string> command_context::texts(const std::string& name) const
{
    const auto& value = this->arguments[name];
    return value.count() == 0 ? std::vector<std::string>()
                              : value.as<std::vector<std::string>>();
}

bool command_context::flag(const std::string& name) const
{
    return this->arguments.count(name) != 0;
}

boost::leaf::result<std::uint64_t>
command_context::number(const std::string& name) const
{
    const std::string digits = this->text(name);
    std::uint64_t value = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, failure] = std::from_chars(digits.data(), end, value);
    if (failure != std::errc() || stop != end)
    {
        return boost::leaf::new_error(
            input_error{"--" + name + ": not a number: " + digits});
    }
    return value;
}

boost::leaf::result<std::string>
command_context::argument(const std::string& name) const
{
    std::string value = this->text(name);
    if (value.empty())
    {
        return boost::leaf::new_error(input_error{"missing: " + name});
    }
    return value;
}

std::chrono::milliseconds command_context::timeout() const
{
    return std::chrono::milliseconds(
        this->arguments["timeout-ms"].as<std::uint32_t>());
}

boost::leaf::result<std::optional<operator_signing_key>>
command_context::key() const
{
    const std::string path = this->text("key-file");
    if (path.empty())
    {
        return std::optional<operator_signing_key>();
    }
    BOOST_LEAF_AUTO(key, load_signing_key(path));
    return std::optional<operator_signing_key>(key);
}

boost::leaf::result<tls_contexts_ptr> command_context::router_tls() const
{
    return load_tls(this->arguments, "router");
}

boost::leaf::result<std::unique_ptr<log_session>>
command_context::open_log() const
{
    const std::string address = this->text("log");
    if (address.empty())
    {
        return boost::leaf::new_error(input_error{"--log ip:port is missing"});
    }
    BOOST_LEAF_AUTO(server, parse_endpoint(address));
    BOOST_LEAF_AUTO(contexts, load_tls(this->arguments, "log"));
    return std::make_unique<log_session>(
        server, this->timeout(), std::move(contexts));
}

boost::leaf::result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return boost::leaf::new_error(input_error{"can't read " + path});
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace roseworks::tools
