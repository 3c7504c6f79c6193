#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

/// Runs a fuzz target once over each file of a folder, without libFuzzer.
/// Ends with an error when the folder has no file; a fault aborts.

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's own name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t*, std::size_t);

int main(int count, char** arguments)
{
    namespace fs = std::filesystem;
    if (count != 2)
    {
        std::cerr << "usage: fuzz_corpus_TARGET FOLDER\n";
        return 2;
    }
    std::vector<fs::path> files;
    for (const fs::directory_entry& entry :
         fs::directory_iterator(arguments[1]))
        files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    for (const fs::path& file : files)
    {
        // Flushed, so that the file at fault is known after an abort.
        std::cout << file.filename().string() << std::endl;
        std::ifstream in(file, std::ios::binary);
        const std::string text{std::istreambuf_iterator<char>(in), {}};
        LLVMFuzzerTestOneInput(
            reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    }
    return files.empty() ? 1 : 0;
}
