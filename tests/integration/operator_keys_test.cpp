#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks::test;

namespace
{

constexpr int exit_ok = 0;
constexpr int exit_rejected = 3;

/// Operators' files, gone with the test.
class key_folder
{
public:
    key_folder()
        : path(
              std::filesystem::temp_directory_path() /
              ("roseworks-keys-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(this->path);
    }

    ~key_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->path, ignored);
    }

    std::string file(const std::string& name) const
    {
        return (this->path / name).string();
    }

    /// Make a secret key. @return The line of its public half.
    std::string make(const std::string& name, const std::string& number) const
    {
        const auto made = run_program(
            "roseworksctl", {"key-make", this->file(name), "--number", number});
        cr_assert_eq(made.exit_code, exit_ok, "%s", made.output.c_str());
        return made.output;
    }

private:
    std::filesystem::path path;
};

/// `N = hex` as `key-add` takes it.
std::string as_argument(std::string line)
{
    std::erase_if(
        line,
        [](char letter)
        {
            return letter == ' ' || letter == '\n';
        });
    return line;
}

program_result
change(const fleet& nodes, std::vector<std::string> command, std::string key)
{
    command.insert(command.end(), {"--log", nodes.log_address()});
    if (!key.empty())
        command.insert(command.end(), {"--key-file", std::move(key)});
    return run_program("roseworksctl", command);
}

program_result apply_model(
    const fleet& nodes,
    const key_folder& files,
    const std::string& model,
    const std::string& key)
{
    const std::string text = files.file(model + ".ini");
    std::ofstream(text) << "[deployment]\nschema = 2\n[model " << model
                        << "]\nmemory_mib = 100\nmax_replicas = 1\n";
    const std::string routers =
        nodes.router_address(0) + "," + nodes.router_address(1);
    return change(nodes, {"apply", text, "--wait-routers", routers}, key);
}

bool lists(const fleet& nodes, std::size_t router, const std::string& name)
{
    http_call call;
    call.target = "/v1/models";
    const auto reply = send(nodes.router_address(router), call);
    return reply.body.find('"' + name + '"') != std::string::npos;
}

bool logged(const fleet& nodes, std::size_t router, const std::string& event)
{
    return eventually(
        [&]
        {
            const std::string log = nodes.router_log(router);
            return log.find(event) != std::string::npos;
        });
}

} // namespace

// No stranger's change is in force at any router once a key is, and a router
// whose settings expect another key says so.
Test(operator_keys, forged_changes_are_refused_by_running_routers)
{
    const key_folder files;
    const std::string line = files.make("olga", "1");
    const std::string stranger = files.make("stranger", "1");
    const std::string second = files.make("omar", "2");
    std::ofstream(files.file("expected")) << "[keys]\n" << line;
    fleet_setup setup;
    setup.routers = 2;
    setup.engines.clear();
    setup.services = 0;
    setup.router_settings =
        "[operators]\nkey_file = " + files.file("expected") + "\n";
    fleet nodes(setup);
    cr_assert(nodes.wait_ready());
    cr_assert(logged(nodes, 0, "RW1114"), "no key is accepted yet");

    const auto added =
        change(nodes, {"key-add", as_argument(line)}, files.file("olga"));
    cr_assert_eq(added.exit_code, exit_ok, "%s", added.output.c_str());
    const auto bare = apply_model(nodes, files, "bare", "");
    cr_assert_eq(bare.exit_code, exit_rejected, "%s", bare.output.c_str());
    cr_assert_neq(bare.output.find("unsigned_change"), std::string::npos);
    const auto forged =
        apply_model(nodes, files, "forged", files.file("stranger"));
    cr_assert_eq(forged.exit_code, exit_rejected, "%s", forged.output.c_str());
    cr_assert_neq(forged.output.find("wrong_signature"), std::string::npos);
    const auto early = apply_model(nodes, files, "early", files.file("omar"));
    cr_assert_eq(early.exit_code, exit_rejected, "%s", early.output.c_str());
    const auto good = apply_model(nodes, files, "good", files.file("olga"));
    cr_assert_eq(good.exit_code, exit_ok, "%s", good.output.c_str());

    // Rotation: both keys, then the new one only.
    cr_assert_eq(
        change(nodes, {"key-add", as_argument(second)}, files.file("olga"))
            .exit_code,
        exit_ok);
    cr_assert_eq(
        apply_model(nodes, files, "both", files.file("omar")).exit_code,
        exit_ok);
    cr_assert_eq(
        change(nodes, {"key-retire", "1"}, files.file("omar")).exit_code,
        exit_ok);
    cr_assert_eq(
        apply_model(nodes, files, "late", files.file("olga")).exit_code,
        exit_rejected);
    const auto gone = change(
        nodes, {"gone", "r2", "--evidence", "a lie"}, files.file("olga"));
    cr_assert_eq(gone.exit_code, exit_rejected, "%s", gone.output.c_str());

    for (std::size_t i = 0; i < nodes.routers(); ++i)
    {
        for (const char* name : {"good", "both"})
            cr_assert(lists(nodes, i, name), "%s at %zu", name, i);
        for (const char* name : {"bare", "forged", "early", "late"})
            cr_assert_not(lists(nodes, i, name), "%s at %zu", name, i);
        cr_assert(logged(nodes, i, "RW1113"));
        cr_assert(logged(nodes, i, "is listed, but retired"));
    }
    const auto audit = nodes.verify();
    cr_assert_eq(audit.exit_code, exit_ok, "%s", audit.output.c_str());
}
