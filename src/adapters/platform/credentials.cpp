#include "adapters/platform/credentials.hpp"

#include <boost/leaf/error.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <fstream>

namespace roseworks::platform
{

namespace leaf = boost::leaf;
namespace property_tree = boost::property_tree;

namespace
{

/// @return Whether the text can be a bearer credential of one header line.
bool is_bearer(std::string_view text)
{
    constexpr char first_printable = 0x21;
    constexpr char last_printable = 0x7e;
    return !text.empty() && std::all_of(
                                text.begin(),
                                text.end(),
                                [](char letter)
                                {
                                    return letter >= first_printable &&
                                           letter <= last_printable;
                                });
}

} // namespace

leaf::result<credentials> credentials::load(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return leaf::new_error(credentials_problem{path, "can't be opened"});
    return load(in, path);
}

leaf::result<credentials>
credentials::load(std::istream& in, const std::string& name)
{
    property_tree::ptree tree;
    try
    {
        property_tree::read_ini(in, tree);
    }
    catch (const property_tree::ini_parser_error& error)
    {
        return leaf::new_error(credentials_problem{
            name, error.message() + ", line " + std::to_string(error.line())});
    }

    credentials result;
    for (const auto& [engine, node] : tree)
    {
        if (!node.empty())
            return leaf::new_error(
                credentials_problem{name, "has a section: " + engine});
        if (!is_bearer(node.data()))
            return leaf::new_error(credentials_problem{
                name, "credential of " + engine + " isn't printable"});
        result.by_engine.emplace(engine, node.data());
    }
    return result;
}

std::string_view credentials::find(std::string_view engine) const
{
    const auto found = this->by_engine.find(engine);
    return found == this->by_engine.end() ? std::string_view() : found->second;
}

} // namespace roseworks::platform
