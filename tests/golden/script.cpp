#include "tests/golden/script.hpp"

#include <sstream>
#include <stdexcept>

namespace roseworks::golden
{

namespace
{

std::vector<std::string> split(const std::string& line)
{
    std::istringstream in(line);
    std::vector<std::string> words;
    for (std::string word; in >> word;)
    {
        words.push_back(word);
    }
    return words;
}

bool takes_text(const std::string& command)
{
    return command == "records" || command == "plan";
}

} // namespace

const std::string& step::word(std::size_t place) const
{
    if (place >= this->words.size())
    {
        throw std::runtime_error(
            "line " + std::to_string(this->line) + ": a word is missing");
    }
    return this->words[place];
}

std::string step::value(std::string_view name, std::string_view otherwise) const
{
    const std::string start = std::string(name) + "=";
    for (const std::string& item : this->words)
    {
        if (item.starts_with(start))
        {
            return item.substr(start.size());
        }
    }
    return std::string(otherwise);
}

std::vector<step> read_script(std::string_view text)
{
    std::istringstream in{std::string(text)};
    std::vector<step> steps;
    std::size_t number = 0;
    bool in_text = false;
    for (std::string line; std::getline(in, line);)
    {
        ++number;
        if (in_text)
        {
            in_text = line != "end";
            steps.back().text += in_text ? line + "\n" : "";
            continue;
        }
        std::vector<std::string> words = split(line);
        if (words.empty() || words.front().starts_with("#"))
        {
            continue;
        }
        in_text = takes_text(words.front());
        steps.push_back({number, line, std::move(words), {}});
    }
    if (in_text)
    {
        throw std::runtime_error("a text of records has no end");
    }
    return steps;
}

} // namespace roseworks::golden
