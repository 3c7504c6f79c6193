#include "tests/soak/call_book.hpp"
#include "tests/soak/in_force_watch.hpp"
#include "tests/soak/judge.hpp"
#include "tests/soak/ledger_watch.hpp"
#include "tests/soak/soak_fleet.hpp"
#include "tests/soak/soak_options.hpp"
#include "tests/soak/storm.hpp"
#include "tests/soak/traffic.hpp"
#include "tests/support/calls.hpp"
#include "tests/support/process_usage.hpp"

#include <cxxopts.hpp>

#include <iostream>
#include <optional>
#include <thread>
#include <vector>

namespace
{

using namespace roseworks::test;

constexpr int exit_ok = 0;
constexpr int exit_broken = 1;
constexpr int exit_usage = 2;

std::optional<soak_options> parse_options(int argc, char** argv)
{
    cxxopts::Options parser(
        "roseworks-soak", "a fleet under traffic and a storm of faults");
    auto add = parser.add_options();
    add("seconds", "length of the storm", cxxopts::value<int>());
    add("routers", "routers", cxxopts::value<std::size_t>());
    add("seed", "seed of faults and calls", cxxopts::value<std::uint64_t>());
    add("calls", "calls a second", cxxopts::value<std::uint32_t>());
    add("logs", "folder for the routers' logs", cxxopts::value<std::string>());
    add("help", "print this help");
    const auto given = parser.parse(argc, argv);
    if (given.count("help") != 0)
    {
        std::cout << parser.help();
        return std::nullopt;
    }
    soak_options options;
    if (given.count("seconds") != 0)
        options.length = std::chrono::seconds(given["seconds"].as<int>());
    if (given.count("routers") != 0)
        options.routers = given["routers"].as<std::size_t>();
    if (given.count("seed") != 0)
        options.seed = given["seed"].as<std::uint64_t>();
    if (given.count("calls") != 0)
        options.calls_per_second = given["calls"].as<std::uint32_t>();
    if (given.count("logs") != 0)
        options.log_folder = given["logs"].as<std::string>();
    return options;
}

void print(const std::string& name, const std::string& value_and_unit)
{
    std::cout << name << "=" << value_and_unit << std::endl;
}

void print(const broken_promise& broken)
{
    std::cout << "broken: " << broken.promise << " " << broken.subject << " at "
              << broken.at_ms << " ms: " << broken.detail << std::endl;
}

std::vector<std::string> addresses(const fleet& nodes)
{
    std::vector<std::string> all;
    for (std::size_t i = 0; i < nodes.routers(); ++i)
        all.push_back(nodes.router_address(i));
    return all;
}

std::vector<process_usage> usages(const fleet& nodes)
{
    std::vector<process_usage> all;
    for (std::size_t i = 0; i < nodes.routers(); ++i)
        all.push_back(router_usage("r" + std::to_string(i + 1)));
    return all;
}

/// What isn't served by a router once all faults are over.
std::vector<std::string> unserved_by(const fleet& nodes, std::size_t router)
{
    std::vector<std::string> missing;
    const std::string name = "r" + std::to_string(router + 1);
    const auto check = [&](const std::string& servable, const http_call& call)
    {
        http_reply last;
        const bool served = eventually(
            [&]
            {
                last = send(nodes.router_address(router), call);
                return last.status == 200;
            });
        if (!served)
        {
            missing.push_back(
                servable + " at " + name + ": " + std::to_string(last.status) +
                " " + last.body);
        }
    };
    for (const std::string& servable : soak_servables())
        check(servable, completion(servable, "after the storm"));
    check("s1", dispatch("after-" + name));
    return missing;
}

/// What isn't served by every router; they are asked side by side.
std::vector<std::string> unserved(const fleet& nodes)
{
    std::vector<std::vector<std::string>> by_router(nodes.routers());
    {
        std::vector<std::jthread> threads;
        for (std::size_t i = 0; i < nodes.routers(); ++i)
        {
            threads.emplace_back(
                [&, i]
                {
                    by_router[i] = unserved_by(nodes, i);
                });
        }
    }
    std::vector<std::string> missing;
    for (const auto& one : by_router)
        missing.insert(missing.end(), one.begin(), one.end());
    return missing;
}

void print_usage(
    const std::vector<process_usage>& before,
    const std::vector<process_usage>& after)
{
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        const std::string name = "r" + std::to_string(i + 1);
        const bool same = before[i].pid == after[i].pid;
        print(name + "_restarted", same ? "0 yes" : "1 yes");
        print(
            name + "_resident_start",
            std::to_string(before[i].resident_kib) + " KiB");
        print(
            name + "_resident_end",
            std::to_string(after[i].resident_kib) + " KiB");
        print(
            name + "_descriptors_start",
            std::to_string(before[i].descriptors) + " descriptors");
        print(
            name + "_descriptors_end",
            std::to_string(after[i].descriptors) + " descriptors");
    }
}

/// From the start of an operator's program until all routers had folded it.
void print_in_force(const std::vector<std::chrono::milliseconds>& rising)
{
    if (rising.empty())
        return;
    const auto at = [&](std::size_t percent)
    {
        const std::size_t place = (rising.size() * percent + 99) / 100 - 1;
        return std::to_string(rising[place].count()) + " ms";
    };
    print("apply_in_force_changes", std::to_string(rising.size()) + " changes");
    print("apply_in_force_p50", at(50));
    print("apply_in_force_p99", at(99));
    print("apply_in_force_max", at(100));
}

int run(const soak_options& options)
{
    fleet nodes(soak_fleet(options.routers));
    const auto applied = nodes.apply(soak_records({}));
    if (applied.exit_code != 0 || !nodes.wait_ready())
    {
        std::cerr << "the fleet did not start: " << applied.output;
        return exit_broken;
    }
    const auto before = usages(nodes);
    const auto start = std::chrono::steady_clock::now();
    call_book book(addresses(nodes));
    ledger_watch watch(nodes);
    in_force_watch changes(book, options.routers);
    storm faults(options, nodes, book, watch, changes);
    std::vector<broken_promise> broken;
    {
        traffic callers(options, book);
        faults.blow_until(start + options.length);
        callers.finish();
    }
    for (const std::string& failure : faults.failures())
        broken.push_back({"shutdown_or_control", failure, 0, ""});
    for (const std::string& missing : unserved(nodes))
        broken.push_back({"serving_again", missing, 0, ""});
    watch.finish();
    const auto after = usages(nodes);
    faults.keep_logs();
    judge verdict(book.records(), nodes, watch, faults, start);
    verdict.run();
    broken.insert(
        broken.end(), verdict.broken().begin(), verdict.broken().end());
    for (const auto& [name, count] : faults.counts())
        print("fault_" + name, std::to_string(count) + " faults");
    for (const auto& [code, count] : faults.apply_results())
    {
        print(
            "apply_exit_" + std::to_string(code),
            std::to_string(count) + " changes");
    }
    print(
        "handovers_unfinished",
        std::to_string(faults.unfinished_handovers()) + " routers");
    print_in_force(changes.finish());
    for (const auto& [name, value] : verdict.figures())
        print(name, value);
    for (const std::string& answer : verdict.error_answers())
        std::cout << "error_answer: " << answer << std::endl;
    print_usage(before, after);
    print("promises_broken", std::to_string(broken.size()) + " promises");
    for (const broken_promise& promise : broken)
        print(promise);
    return broken.empty() ? exit_ok : exit_broken;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const auto options = parse_options(argc, argv);
        return options ? run(*options) : exit_ok;
    }
    catch (const cxxopts::exceptions::exception& wrong)
    {
        std::cerr << "roseworks-soak: " << wrong.what() << "\n";
        return exit_usage;
    }
}
