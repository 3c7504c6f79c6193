#include "tests/golden/session.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace
{

namespace fs = std::filesystem;

const fs::path folder =
    fs::path(ROSEWORKS_SOURCE_DIR) / "tests/golden/sessions";

std::string read(const fs::path& path)
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

std::vector<fs::path> sessions()
{
    std::vector<fs::path> found;
    for (const fs::directory_entry& entry : fs::directory_iterator(folder))
    {
        if (entry.path().extension() == ".session")
        {
            found.push_back(entry.path());
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

/// @return The first line in which two texts differ, both sides.
std::string first_difference(const std::string& golden, const std::string& now)
{
    std::istringstream left(golden);
    std::istringstream right(now);
    std::string expected;
    std::string got;
    std::size_t line = 0;
    do
    {
        ++line;
        expected = "(end)";
        got = "(end)";
        std::getline(left, expected);
        std::getline(right, got);
    } while (expected == got && (left || right));
    return "line " + std::to_string(line) + "\n  golden: " + expected +
           "\n  now:    " + got;
}

} // namespace

Test(golden, sessions_are_as_written_byte_for_byte)
{
    const std::vector<fs::path> all = sessions();
    cr_assert_geq(all.size(), 6U);
    for (const fs::path& path : all)
    {
        const std::string now = roseworks::golden::play(read(path));
        fs::path written = path;
        const std::string golden = read(written.replace_extension(".golden"));
        cr_expect(
            golden == now,
            "%s: %s",
            path.filename().c_str(),
            first_difference(golden, now).c_str());
    }
}

/// A golden file must never hold a broken promise, however it got there.
Test(golden, no_session_breaks_a_promise)
{
    for (const fs::path& path : sessions())
    {
        const std::string now = roseworks::golden::play(read(path));
        for (const char* word : {"VIOLATION", "DIVERGED"})
        {
            cr_expect(
                now.find(word) == std::string::npos,
                "%s: %s",
                path.filename().c_str(),
                word);
        }
    }
}
