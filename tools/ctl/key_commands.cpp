#include "tools/common/operator_key_file.hpp"
#include "tools/ctl/publish.hpp"

#include <charconv>
#include <ostream>

namespace roseworks::tools
{

namespace
{

/// @return `N = <hex digits>`, as `[operators] key_file` of routers takes it.
std::string public_line(const operator_key& key)
{
    return std::to_string(key.number) + " = " + key_hex(key.bytes);
}

boost::leaf::result<std::uint8_t> key_number(std::string_view text)
{
    std::uint8_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc() || stop != end || number == 0)
    {
        return boost::leaf::new_error(input_error{
            "not a key number from 1 to 255: " + std::string(text)});
    }
    return number;
}

command_result
publish_key_change(command_context& context, operator_key_change change)
{
    change.author = context.text("author");
    BOOST_LEAF_AUTO(log, context.open_log());
    BOOST_LEAF_CHECK(log->history.load());
    BOOST_LEAF_AUTO(
        published, publish_and_print(context, *log, std::move(change)));
    return code_of(published);
}

} // namespace

command_result run_key_make(command_context& context)
{
    BOOST_LEAF_AUTO(path, context.argument("file"));
    BOOST_LEAF_AUTO(number, key_number(context.text("number")));
    BOOST_LEAF_AUTO(key, create_signing_key(path, number));
    context.out << public_line(key.public_key()) << '\n';
    return exit_code::ok;
}

command_result run_key_add(command_context& context)
{
    BOOST_LEAF_AUTO(text, context.argument("key"));
    const std::size_t middle = text.find('=');
    const auto key = middle == std::string::npos
                         ? std::nullopt
                         : parse_operator_key(
                               std::string_view(text).substr(0, middle),
                               std::string_view(text).substr(middle + 1));
    if (!key)
    {
        return boost::leaf::new_error(
            input_error{"not NUMBER=<64 hex digits>: " + text});
    }
    operator_key_change change;
    change.number = key->number;
    change.key.assign(key->bytes.begin(), key->bytes.end());
    return publish_key_change(context, std::move(change));
}

command_result run_key_retire(command_context& context)
{
    BOOST_LEAF_AUTO(text, context.argument("number"));
    operator_key_change change;
    BOOST_LEAF_ASSIGN(change.number, key_number(text));
    return publish_key_change(context, std::move(change));
}

} // namespace roseworks::tools
