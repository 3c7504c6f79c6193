// Stand-in of a model engine.

#include "standins/common/json_fields.hpp"
#include "standins/common/program.hpp"
#include "standins/engine/engine_service.hpp"

#include <chrono>
#include <utility>

namespace roseworks::standins
{

namespace
{

void declare_options(cxxopts::Options& options)
{
    options.add_options()("name", "the engine's name", text_value("engine"));
    options.add_options()("memory-mib", "memory in all", number_value(81920));
    options.add_options()("accelerators", "accelerators", number_value(1));
    options.add_options()(
        "fencing", "old fencing numbers: check or ignore", text_value("check"));
    options.add_options()(
        "credential",
        "what orders must bear, empty for nothing",
        text_value(""));
    options.add_options()(
        "weight-store", "address:port, empty for none", text_value(""));
    options.add_options()(
        "slots", "requests that run at once", number_value(8));
    options.add_options()(
        "max-waiting", "requests that may wait for a slot", number_value(256));
    options.add_options()(
        "resume",
        "streams carry a tag and ids, and can be gone on with",
        cxxopts::value<bool>()->default_value("false"));
    options.add_options()("token-ms", "time for one token", number_value(5));
    options.add_options()(
        "prefill-us-per-char",
        "time for a prompt's character",
        number_value(10));
    options.add_options()(
        "prefix-entries", "prompt prefixes kept in memory", number_value(64));
    options.add_options()(
        "load-ms-extra",
        "load time besides the weight store's",
        number_value(0));
    options.add_options()(
        "disk-cached",
        "servables on disk, with commas between",
        text_value(""));
}

bool parse_fencing(const std::string& text)
{
    if (text != "check" && text != "ignore")
    {
        throw bad_request("fencing is check or ignore");
    }
    return text == "check";
}

engine_options read_options(const cxxopts::ParseResult& arguments)
{
    const auto text = [&](const char* name)
    {
        return arguments[name].as<std::string>();
    };
    const auto number = [&](const char* name)
    {
        return arguments[name].as<std::uint64_t>();
    };
    engine_options options;
    options.name = text("name");
    options.memory_mib = number("memory-mib");
    options.accelerators = number("accelerators");
    options.check_fencing = parse_fencing(text("fencing"));
    options.credential = text("credential");
    if (!text("weight-store").empty())
    {
        options.weight_store = parse_endpoint(text("weight-store"));
    }
    options.slots = number("slots");
    options.max_waiting = number("max-waiting");
    options.prefix_entries = number("prefix-entries");
    options.token = std::chrono::milliseconds(number("token-ms"));
    options.prefill_per_char =
        std::chrono::microseconds(number("prefill-us-per-char"));
    options.load_extra = std::chrono::milliseconds(number("load-ms-extra"));
    options.resume = arguments["resume"].as<bool>();
    options.disk_cached = split_list(text("disk-cached"));
    if (options.slots == 0)
    {
        throw bad_request("slots must be above 0");
    }
    return options;
}

/// The start in wall-clock milliseconds.
std::uint64_t make_incarnation()
{
    const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_1970)
            .count());
}

} // namespace

} // namespace roseworks::standins

int main(int argc, char** argv)
{
    using namespace roseworks::standins;
    cxxopts::Options options = make_options("standin-engine", "Model engine");
    declare_options(options);
    return run_program(
        argc,
        argv,
        options,
        "listen",
        [](const cxxopts::ParseResult& arguments)
        {
            return std::make_unique<engine_service>(
                read_options(arguments), make_incarnation());
        });
}
