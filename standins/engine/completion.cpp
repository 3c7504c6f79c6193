#include "standins/engine/completion.hpp"

#include "standins/common/json_fields.hpp"
#include "standins/engine/hex.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace roseworks::standins
{

namespace json = boost::json;

namespace
{

constexpr std::uint64_t default_max_tokens = 16;
constexpr std::uint64_t most_tokens = 1'000'000;
constexpr std::size_t mark_digits = 8;
constexpr std::size_t chars_per_token = 4;

/// A message's content: a string, or an array of parts with a `text` each.
std::string content_text(const json::object& message)
{
    const json::value* const content = message.if_contains("content");
    if (content == nullptr || !content->is_array())
    {
        return string_field(message, "content");
    }
    std::string text;
    for (const json::value& part : content->get_array())
    {
        if (!part.is_object())
        {
            throw bad_request("a content part is not an object");
        }
        text += string_field(part.get_object(), "text");
    }
    return text;
}

std::string join_messages(const json::object& body)
{
    const json::value* const messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
    {
        throw bad_request("messages is not an array");
    }
    std::string prompt;
    bool first = true;
    for (const json::value& message : messages->get_array())
    {
        if (!message.is_object())
        {
            throw bad_request("a message is not an object");
        }
        prompt += first ? "" : "\n";
        prompt += content_text(message.get_object());
        first = false;
    }
    return prompt;
}

} // namespace

completion_request parse_completion(const json::object& body, bool chat)
{
    completion_request result;
    result.chat = chat;
    result.model = string_field(body, "model");
    result.prompt = chat ? join_messages(body) : string_field(body, "prompt");
    result.max_tokens = number_field(body, "max_tokens", default_max_tokens);
    result.stream = flag_field(body, "stream", false);
    if (result.model.empty())
    {
        throw bad_request("model is missing");
    }
    if (result.max_tokens == 0 || result.max_tokens > most_tokens)
    {
        throw bad_request("max_tokens is out of range");
    }
    return result;
}

completion_writer::completion_writer(
    const completion_request& asked, std::string_view request_id, bool numbered)
    : request(asked)
    , id(request_id)
    , mark(hash_hex(asked.prompt).substr(0, mark_digits))
    , with_ids(numbered)
{
}

std::string completion_writer::tag(std::string_view version) const
{
    std::string text = "\"";
    text += this->request.model;
    text += '-';
    text += version;
    text += '-';
    text += hash_hex(this->request.prompt);
    text += '-';
    text += std::to_string(this->request.max_tokens);
    text += '"';
    return text;
}

std::string completion_writer::token_event(std::uint64_t index) const
{
    const bool last = index + 1 == this->request.max_tokens;
    json::value finish_reason;
    if (last)
    {
        finish_reason = "length";
    }
    const std::string separator = index == 0 ? "" : " ";
    const std::string number =
        this->with_ids ? "id: " + std::to_string(index) + "\n" : "";
    return number +
           this->event(
               separator + this->token(index), std::move(finish_reason));
}

std::string completion_writer::cancelled_event() const
{
    return this->event("", "cancelled");
}

std::string completion_writer::done_event()
{
    return "data: [DONE]\n\n";
}

json::object completion_writer::whole() const
{
    std::string text;
    for (std::uint64_t index = 0; index < this->request.max_tokens; ++index)
    {
        text += index == 0 ? "" : " ";
        text += this->token(index);
    }
    json::object choice;
    if (this->request.chat)
    {
        json::object message;
        message["role"] = "assistant";
        message["content"] = text;
        choice["message"] = std::move(message);
    }
    else
    {
        choice["text"] = text;
    }
    choice["finish_reason"] = "length";
    json::object answer = this->envelope(
        this->request.chat ? "chat.completion" : "text_completion",
        std::move(choice));
    const std::size_t prompt_tokens =
        this->request.prompt.size() / chars_per_token;
    json::object usage;
    usage["prompt_tokens"] = prompt_tokens;
    usage["completion_tokens"] = this->request.max_tokens;
    usage["total_tokens"] = prompt_tokens + this->request.max_tokens;
    answer["usage"] = std::move(usage);
    return answer;
}

std::string completion_writer::token(std::uint64_t index) const
{
    std::string text = "t";
    text += std::to_string(index);
    text += '-';
    text += this->mark;
    return text;
}

std::string
completion_writer::event(std::string_view text, json::value finish_reason) const
{
    json::object choice;
    if (this->request.chat)
    {
        json::object delta;
        delta["content"] = text;
        choice["delta"] = std::move(delta);
    }
    else
    {
        choice["text"] = text;
    }
    choice["finish_reason"] = std::move(finish_reason);
    const json::object chunk = this->envelope(
        this->request.chat ? "chat.completion.chunk" : "text_completion",
        std::move(choice));
    return "data: " + json::serialize(chunk) + "\n\n";
}

json::object completion_writer::envelope(
    std::string_view object_kind, json::object choice) const
{
    choice["index"] = 0;
    json::array choices;
    choices.emplace_back(std::move(choice));
    json::object result;
    result["id"] = this->id;
    result["object"] = object_kind;
    result["created"] = 0;
    result["model"] = this->request.model;
    result["choices"] = std::move(choices);
    return result;
}

} // namespace roseworks::standins
