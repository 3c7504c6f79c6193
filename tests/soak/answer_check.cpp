#include "tests/soak/answer_check.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <optional>
#include <string_view>

namespace roseworks::test
{

namespace
{

namespace json = boost::json;

constexpr std::chrono::seconds dropped_after{59};
constexpr std::string_view data_field = "data: ";
constexpr std::string_view error_event = "event: error";
constexpr std::string_view end_mark = "[DONE]";

std::string expected_text(const call_record& call)
{
    const auto hash = XXH64(call.prompt.data(), call.prompt.size(), 0);
    std::array<char, 17> digits{};
    std::snprintf(
        digits.data(),
        digits.size(),
        "%016llx",
        static_cast<unsigned long long>(hash));
    const std::string mark(digits.data(), 8);
    std::string text;
    for (std::uint64_t i = 0; i < call.tokens; ++i)
        text += (i == 0 ? "t" : " t") + std::to_string(i) + "-" + mark;
    return text;
}

std::string string_at(const json::value& object, std::string_view key)
{
    if (!object.is_object())
        return {};
    const auto* found = object.as_object().if_contains(key);
    return found != nullptr && found->is_string()
               ? std::string(found->as_string())
               : std::string();
}

/// The text of a choice's `message` or `delta`.
std::string choice_text(const json::value& body, std::string_view member)
{
    boost::system::error_code failed;
    const auto* content = body.find_pointer(
        "/choices/0/" + std::string(member) + "/content", failed);
    return content != nullptr && content->is_string()
               ? std::string(content->as_string())
               : std::string();
}

answer_check refusal(const json::value& problem, std::string verdict)
{
    answer_check result;
    result.outcome = call_outcome::refused;
    result.reason = string_at(problem, "reason");
    result.verdict = std::move(verdict);
    return result;
}

answer_check untrue(std::string why)
{
    answer_check result;
    result.outcome = call_outcome::untrue;
    result.fault = std::move(why);
    return result;
}

answer_check whole()
{
    answer_check result;
    result.verdict = "answered";
    return result;
}

answer_check no_answer(const call_record& call)
{
    answer_check result;
    const http_reply& reply = call.reply;
    if (call.end - call.begin >= dropped_after)
        result.outcome = call_outcome::dropped;
    else if (reply.headers.empty())
        result.outcome = call_outcome::unreached;
    else
        result.outcome = call_outcome::cut;
    return result;
}

json::value parse(std::string_view text)
{
    boost::system::error_code failed;
    auto value = json::parse(text, failed);
    return failed ? json::value() : value;
}

/// The stream's end, if one was found, and its text.
answer_check check_stream(const call_record& call)
{
    std::string text;
    bool error = false;
    bool done = false;
    std::string_view rest = call.reply.body;
    while (!rest.empty())
    {
        const auto line_end = std::min(rest.find('\n'), rest.size());
        std::string_view line = rest.substr(0, line_end);
        rest.remove_prefix(std::min(rest.size(), line_end + 1));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line == error_event)
            error = true;
        if (!line.starts_with(data_field))
            continue;
        line.remove_prefix(data_field.size());
        if (error)
        {
            const json::value problem = parse(line);
            return refusal(problem, string_at(problem, "verdict"));
        }
        done = done || line == end_mark;
        if (line != end_mark)
            text += choice_text(parse(line), "delta");
    }
    if (!done)
        return untrue("stream ends without [DONE] and without event: error");
    if (text != expected_text(call))
        return untrue("stream is not the call's own answer: " + text);
    return whole();
}

answer_check check_success(const call_record& call)
{
    if (call.reply.header("x-roseworks-verdict") != "answered")
        return untrue("200 without the verdict answered");
    if (call.kind == call_kind::stream)
        return check_stream(call);
    const json::value body = call.reply.json();
    if (call.kind == call_kind::dispatch)
    {
        const bool own = string_at(body, "path") == "/dispatch";
        return own ? whole() : untrue("not a dispatch's answer");
    }
    if (choice_text(body, "message") != expected_text(call))
        return untrue("not the call's own answer: " + call.reply.body);
    return whole();
}

} // namespace

answer_check check_answer(const call_record& call)
{
    const http_reply& reply = call.reply;
    if (reply.status == 0)
        return no_answer(call);
    if (reply.header("x-request-id") != call.request_id)
        return untrue("another request's id: " + reply.header("x-request-id"));
    if (reply.status == 200)
        return check_success(call);
    const std::string verdict = reply.header("x-roseworks-verdict");
    if (verdict.empty())
        return untrue("refused without a verdict: " + reply.body);
    return refusal(reply.json(), verdict);
}

} // namespace roseworks::test
