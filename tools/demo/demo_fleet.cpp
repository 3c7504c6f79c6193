#include "tools/demo/demo_fleet.hpp"

#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace roseworks::tools
{

namespace
{

namespace json = boost::json;

constexpr std::chrono::milliseconds ledger_limit{5000};

} // namespace

void promise_check::require(bool holds, std::string promise)
{
    if (!holds)
    {
        this->names.push_back(std::move(promise));
    }
}

json::object read_ledger(const endpoint& standin)
{
    http_request request;
    request.target = "/ledger";
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<json::object>
        {
            BOOST_LEAF_AUTO(reply, http_call(standin, request, ledger_limit));
            return parse_object(reply.body);
        },
        []
        {
            return json::object();
        });
}

json::object parse_object(std::string_view text)
{
    json::error_code error;
    json::value parsed =
        json::parse(json::string_view(text.data(), text.size()), error);
    return !error && parsed.is_object() ? std::move(parsed.get_object())
                                        : json::object();
}

std::uint64_t number_in(const json::object& object, std::string_view name)
{
    const json::value* const field = object.if_contains(name);
    if (field == nullptr || !field->is_number())
    {
        return 0;
    }
    json::error_code error;
    const auto number = field->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

} // namespace roseworks::tools
