#include "tools/common/operator_key_file.hpp"

#include "tools/common/exit_code.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <openssl/rand.h>

#include <array>
#include <fcntl.h>
#include <unistd.h>

namespace roseworks::tools
{

namespace
{

constexpr mode_t owner_only = 0600;

boost::leaf::error_id bad_file(const std::string& path, std::string_view what)
{
    return boost::leaf::new_error(input_error{path + ": " + std::string(what)});
}

/// @return Whether the whole text was written to a new file.
bool write_new(const std::string& path, const std::string& text)
{
    const int file =
        ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL, owner_only);
    if (file < 0)
        return false;
    const ssize_t written = ::write(file, text.data(), text.size());
    const bool closed = ::close(file) == 0;
    return closed && written == static_cast<ssize_t>(text.size());
}

} // namespace

boost::leaf::result<operator_signing_key>
load_signing_key(const std::string& path)
{
    boost::property_tree::ptree tree;
    try
    {
        boost::property_tree::read_ini(path, tree);
    }
    catch (const boost::property_tree::ini_parser_error& error)
    {
        return boost::leaf::new_error(input_error{error.what()});
    }
    const auto secret = parse_key_hex(tree.get("key.secret", ""));
    if (!secret)
        return bad_file(path, "[key] secret: expected 64 hex digits");
    const auto number = tree.get_optional<unsigned>("key.number");
    if (!number || *number < 1 || *number > 255)
        return bad_file(path, "[key] number: expected 1 to 255");
    auto key =
        operator_signing_key::make(static_cast<std::uint8_t>(*number), *secret);
    if (!key)
        return bad_file(path, "[key] secret: not a key");
    return *key;
}

boost::leaf::result<operator_signing_key>
create_signing_key(const std::string& path, std::uint8_t number)
{
    std::array<std::byte, operator_key_bytes> secret{};
    auto* const bytes = reinterpret_cast<unsigned char*>(secret.data());
    if (RAND_bytes(bytes, operator_key_bytes) != 1)
        return bad_file(path, "no random numbers");
    auto key = operator_signing_key::make(number, secret);
    if (!key)
        return bad_file(path, "--number: expected 1 to 255");
    const std::string text = "[key]\nnumber = " + std::to_string(number) +
                             "\nsecret = " + key_hex(secret) + "\n";
    if (!write_new(path, text))
        return bad_file(path, "can't be made, or is there already");
    return *key;
}

} // namespace roseworks::tools
