#include "tools/ctl/command.hpp"

#include <array>
#include <cstdlib>

namespace roseworks::tools
{

namespace
{

std::string default_author()
{
    const char* const user = std::getenv("USER");
    return user == nullptr || *user == '\0' ? "operator" : user;
}

void no_options(cxxopts::OptionAdder&) {}

void json_option(cxxopts::OptionAdder& options)
{
    options("json", "print JSON");
}

void author_option(cxxopts::OptionAdder& options)
{
    options(
        "author",
        "who makes the change, for the trail",
        cxxopts::value<std::string>()->default_value(default_author()));
    options("note", "why, for the trail", cxxopts::value<std::string>());
    options(
        "key-file",
        "file of the secret key that signs the change (see `key-make`)",
        cxxopts::value<std::string>());
}

void number_option(cxxopts::OptionAdder& options)
{
    options(
        "number",
        "the key's number, 1 to 255, never used before",
        cxxopts::value<std::string>()->default_value("1"));
}

void prune_option(cxxopts::OptionAdder& options)
{
    options("prune", "remove what the file doesn't name");
}

void apply_options(cxxopts::OptionAdder& options)
{
    prune_option(options);
    author_option(options);
    options(
        "planned-at",
        "offset that `plan` printed: fail when an entity to change was changed "
        "since",
        cxxopts::value<std::string>());
    options(
        "wait-routers",
        "routers' HTTP addresses ip:port,... to wait for",
        cxxopts::value<std::string>());
    add_ca_option(options, "router");
}

void drain_options(cxxopts::OptionAdder& options)
{
    author_option(options);
    options("undo", "let the engine have work again");
}

void gone_options(cxxopts::OptionAdder& options)
{
    author_option(options);
    options(
        "evidence",
        "how it is known that the process is gone",
        cxxopts::value<std::string>());
}

void audit_options(cxxopts::OptionAdder& options)
{
    json_option(options);
    options(
        "from",
        "first offset to print",
        cxxopts::value<std::string>()->default_value("1"));
    options("follow", "go on printing until interrupted");
    options("all", "print renewals and checkpoints, too");
}

void losses_options(cxxopts::OptionAdder& options)
{
    json_option(options);
    options(
        "window-s",
        "length of a window of time",
        cxxopts::value<std::string>()->default_value("10"));
    options(
        "worth",
        "ROUTE=NUMBER, what an answer in time is worth; may be repeated",
        cxxopts::value<std::vector<std::string>>());
}

constexpr std::array table{
    command{
        "check",
        "file",
        "FILE",
        "read a text of records and list every problem",
        false,
        &no_options,
        &run_check},
    command{
        "plan",
        "file",
        "FILE",
        "print what `apply` would change, and what that leads to",
        true,
        &prune_option,
        &run_plan},
    command{
        "apply",
        "file",
        "FILE",
        "publish a text of records",
        true,
        &apply_options,
        &run_apply},
    command{
        "show",
        "what",
        "[fleet|models|adapters|replicas|engines|leases|claims|blocks|keys]",
        "print the decided state",
        true,
        &json_option,
        &run_show},
    command{
        "explain",
        "name",
        "MODEL",
        "why a model or adapter is loaded where it is, or not loaded",
        true,
        &no_options,
        &run_explain},
    command{
        "drain",
        "engine",
        "ENGINE",
        "give an engine no new work",
        true,
        &drain_options,
        &run_drain},
    command{
        "unblock",
        "fingerprint",
        "FINGERPRINT",
        "let a blocked request through again",
        true,
        &author_option,
        &run_unblock},
    command{
        "gone",
        "router",
        "ROUTER",
        "state that a router's process is gone for good",
        true,
        &gone_options,
        &run_gone},
    command{
        "key-make",
        "file",
        "FILE",
        "make a secret operators' key and print its public half",
        false,
        &number_option,
        &run_key_make},
    command{
        "key-add",
        "key",
        "NUMBER=PUBLIC",
        "accept one more operators' key; the first one signs itself",
        true,
        &author_option,
        &run_key_add},
    command{
        "key-retire",
        "number",
        "NUMBER",
        "accept an operators' key no longer; signed by another one",
        true,
        &author_option,
        &run_key_retire},
    command{
        "audit",
        "",
        "",
        "print the trail of changes",
        true,
        &audit_options,
        &run_audit},
    command{
        "losses",
        "files",
        "FILE...",
        "count late, refused and failed requests of gateways' logs by cause",
        false,
        &losses_options,
        &run_losses,
        true},
    command{
        "story",
        "request-and-files",
        "REQUEST-ID FILE...",
        "tell what happened to one request, from the logs of all VMs",
        false,
        &no_options,
        &run_story,
        true},
    command{
        "fields",
        "",
        "",
        "print docs/RECORDS.md",
        false,
        &no_options,
        &run_fields},
    command{
        "completion",
        "shell",
        "bash",
        "print a completion script",
        false,
        &no_options,
        &run_completion},
};

} // namespace

std::span<const command> commands()
{
    return table;
}

cxxopts::Options options_of(const command& which)
{
    cxxopts::Options options(
        "roseworksctl " + std::string(which.name), std::string(which.summary));
    cxxopts::OptionAdder adder = options.add_options();
    adder("h,help", "print this help");
    if (which.uses_log)
    {
        adder("log", "the log's ip:port", cxxopts::value<std::string>());
        adder(
            "timeout-ms",
            "limit of each call and of each wait",
            cxxopts::value<std::uint32_t>()->default_value("10000"));
        add_ca_option(adder, "log");
        add_certificate_options(adder);
    }
    which.add_options(adder);
    if (!which.argument.empty())
    {
        const std::string name(which.argument);
        auto argument = options.add_options("argument");
        if (which.many_arguments)
            argument(name, "", cxxopts::value<std::vector<std::string>>());
        else
            argument(name, "", cxxopts::value<std::string>());
        options.parse_positional({name});
        options.positional_help(std::string(which.argument_help));
    }
    return options;
}

} // namespace roseworks::tools
