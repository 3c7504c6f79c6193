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

/// @return Whether the text is valid as a bearer credential in a header line.
bool is_valid_credential(std::string_view text)
{
    constexpr char first_printable = 0x21;
    constexpr char last_printable = 0x7e;
    return !text.empty() && std::all_of(
                                text.begin(),
                                text.end(),
                                [](char character)
                                {
                                    return character >= first_printable &&
                                           character <= last_printable;
                                });
}

} // namespace

leaf::result<credentials> credentials::load(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return leaf::new_error(credentials_error{path, "cannot be opened"});
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
        return leaf::new_error(credentials_error{
            name, error.message() + ", line " + std::to_string(error.line())});
    }

    credentials result;
    for (const auto& [engine, node] : tree)
    {
        if (!node.empty())
            return leaf::new_error(
                credentials_error{name, "unexpected section " + engine});
        if (!is_valid_credential(node.data()))
            return leaf::new_error(credentials_error{
                name,
                "credential of " + engine +
                    " is empty or contains spaces, control characters or "
                    "non-ASCII characters"});
        result.credentials_by_engine.emplace(engine, node.data());
    }
    return result;
}

std::string_view credentials::find(std::string_view engine) const
{
    const auto found = this->credentials_by_engine.find(engine);
    return found == this->credentials_by_engine.end() ? std::string_view()
                                                      : found->second;
}

} // namespace roseworks::platform
