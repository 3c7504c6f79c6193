#include "adapters/settings/operator_key_file.hpp"

#include "adapters/settings/ini_reader.hpp"
#include "adapters/settings/settings_problems.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace roseworks::settings
{

namespace
{

constexpr std::string_view section = "keys";
constexpr std::string_view allowed = "number from 1 to 255 = 64 hex digits";

boost::leaf::error_id make_error(settings_problem problem)
{
    return boost::leaf::new_error(settings_problems{{std::move(problem)}});
}

settings_problem problem_at(
    const std::string& file, const ini_entry& entry, std::string_view reason)
{
    return {
        file,
        entry.line,
        entry.section,
        entry.key,
        std::string(reason),
        std::string(allowed)};
}

} // namespace

boost::leaf::result<std::vector<operator_key>>
load_operator_keys(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return make_error({path, 0, "", "", "cannot be opened", ""});
    const std::string text(std::istreambuf_iterator<char>(in), {});
    const ini_text ini = read_ini(text, path);
    if (!ini.problems.empty())
        return boost::leaf::new_error(settings_problems{ini.problems});
    std::vector<operator_key> keys;
    for (const ini_entry& entry : ini.entries)
    {
        if (entry.section != section)
            return make_error(problem_at(path, entry, "unknown section"));
        const auto key = parse_operator_key(entry.key, entry.value);
        if (!key)
            return make_error(
                problem_at(path, entry, "not a valid operator key"));
        if (std::ranges::count(keys, key->number, &operator_key::number) != 0)
            return make_error(problem_at(path, entry, "duplicate key number"));
        keys.push_back(*key);
    }
    if (keys.empty())
        return make_error(
            {path,
             0,
             std::string(section),
             "",
             "contains no keys",
             std::string(allowed)});
    return keys;
}

} // namespace roseworks::settings
