#include "tests/support/calls.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <thread>

namespace roseworks::test
{

namespace
{

namespace json = boost::json;

std::uint64_t number_at(const json::value& object, std::string_view key)
{
    if (!object.is_object())
        return 0;
    const auto* found = object.as_object().if_contains(key);
    if (found == nullptr || !found->is_number())
        return 0;
    return found->to_number<std::uint64_t>();
}

const json::value* member(const json::value& object, std::string_view key)
{
    return object.is_object() ? object.as_object().if_contains(key) : nullptr;
}

} // namespace

http_call completion(std::string_view model, std::string_view prompt)
{
    json::object message{{"role", "user"}, {"content", prompt}};
    json::object body{
        {"model", model},
        {"max_tokens", 4},
        {"messages", json::array{std::move(message)}}};
    http_call call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers["Content-Type"] = "application/json";
    call.body = json::serialize(body);
    return call;
}

http_call dispatch(std::string_view key, std::string_view body)
{
    http_call call;
    call.method = "POST";
    call.target = "/services/s1/dispatch";
    call.headers["Content-Type"] = "application/json";
    call.headers["Idempotency-Key"] = std::string(key);
    call.body = std::string(body);
    return call;
}

std::vector<http_reply> send_all(const std::vector<addressed_call>& calls)
{
    std::vector<http_reply> replies(calls.size());
    std::vector<std::jthread> threads;
    threads.reserve(calls.size());
    for (std::size_t i = 0; i < calls.size(); ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                replies[i] = send(calls[i].address, calls[i].call);
            });
    }
    threads.clear();
    return replies;
}

std::uint64_t runs_of(std::string_view standin, std::string_view request_id)
{
    const json::value ledger = get_json(standin, "/ledger");
    if (const auto* by_id = member(ledger, "by_request_id"))
        return number_at(*by_id, request_id);
    const auto* executions = member(ledger, "executions");
    if (executions == nullptr || !executions->is_array())
        return 0;
    for (const json::value& item : executions->as_array())
    {
        const auto* id = member(item, "request_id");
        if (id != nullptr && id->is_string() && id->as_string() == request_id)
            return number_at(item, "count");
    }
    return 0;
}

std::uint64_t runs_of_key(std::string_view service, std::string_view key)
{
    const json::value ledger = get_json(service, "/ledger");
    const auto* by_key = member(ledger, "by_idempotency_key");
    return by_key == nullptr ? 0 : number_at(*by_key, key);
}

std::uint64_t resident_peak(const fleet& nodes, std::string_view servable)
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < nodes.engines_count(); ++i)
    {
        const json::value ledger = get_json(nodes.engine_address(i), "/ledger");
        const auto* peaks = member(ledger, "resident_peak");
        if (peaks != nullptr)
            sum += number_at(*peaks, servable);
    }
    return sum;
}

bool refused(
    const http_reply& reply, std::string_view verdict, std::string_view reason)
{
    const json::value body = reply.json();
    const auto* said = member(body, "reason");
    return reply.status >= 400 &&
           reply.header("x-roseworks-verdict") == verdict && said != nullptr &&
           said->is_string() && said->as_string() == reason;
}

} // namespace roseworks::test
