// Compares the event catalogue with the calls in the sources that emit events.

#include "adapters/events/event_catalogue.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <string>

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::events;

namespace fs = std::filesystem;

/// The fields of each event, collected from all calls that emit it.
using emissions = std::map<std::string, std::set<std::string>, std::less<>>;

std::string text_of(const fs::path& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

std::set<std::string> all_matches(const std::string& text, const char* pattern)
{
    const std::regex expression(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator match(text.begin(), text.end(), expression), end;
         match != end;
         ++match)
        found.insert((*match)[1]);
    return found;
}

/// Collects the calls `report(event_id::name, {...});`. A call
/// `report(*id, {...});` counts for every event that a function of the same
/// file returns.
void collect_emissions(const std::string& text, emissions& found)
{
    static const std::regex call(
        R"(\breport\(\s*(?:event_id::(\w+)|\*id)([^;]*);)");
    for (std::sregex_iterator match(text.begin(), text.end(), call), end;
         match != end;
         ++match)
    {
        const auto fields = all_matches((*match)[2], R"re(\{\s*"(\w+)")re");
        std::set<std::string> names{(*match)[1]};
        if (!(*match)[1].matched)
            names = all_matches(text, R"(return event_id::(\w+);)");
        for (const std::string& name : names)
            found[name].insert(fields.begin(), fields.end());
    }
}

emissions read_sources()
{
    emissions found;
    for (const char* folder :
         {ROSEWORKS_SOURCE_DIR "/src", ROSEWORKS_SOURCE_DIR "/platform"})
    {
        for (const auto& entry : fs::recursive_directory_iterator(folder))
        {
            if (entry.path().extension() == ".cpp")
                collect_emissions(text_of(entry.path()), found);
        }
    }
    return found;
}

std::set<std::string> catalogued_fields(const event_entry& entry)
{
    return all_matches(std::string(entry.fields), R"((\w+))");
}

} // namespace

Test(emission, every_catalogued_event_is_emitted_with_its_fields)
{
    const emissions found = read_sources();
    for (const event_entry& entry : catalogue())
    {
        const std::string name(entry.name);
        const auto emitted = found.find(name);
        cr_expect(emitted != found.end(), "%s is never emitted", name.c_str());
        if (emitted == found.end())
            continue;
        const auto catalogued = catalogued_fields(entry);
        for (const std::string& field : emitted->second)
        {
            cr_expect(
                catalogued.contains(field),
                "%s is emitted with %s, which isn't catalogued",
                name.c_str(),
                field.c_str());
        }
        for (const std::string& field : catalogued)
        {
            cr_expect(
                emitted->second.contains(field),
                "%s is never emitted with %s",
                name.c_str(),
                field.c_str());
        }
    }
}
