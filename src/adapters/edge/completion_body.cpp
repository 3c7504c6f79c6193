#include "adapters/edge/completion_body.hpp"

#include "adapters/edge/call_problem.hpp"
#include "adapters/edge/text_validation.hpp"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/error.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace roseworks::edge
{

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

constexpr std::size_t max_depth = 32;
constexpr std::size_t max_model_name_length = 128;
constexpr std::int64_t max_tokens_limit = 1'000'000;
constexpr std::size_t prefix_bytes = 256;

/// Computes the size of the prompt and the hash of its prefix. The hash is the
/// same as in the cache events of engines: XXH64 of the model name, a line feed
/// and the first 256 bytes of the prompt.
class prompt_digest
{
public:
    void add(std::string_view text)
    {
        this->bytes += text.size();
        const std::size_t room = prefix_bytes - this->head.size();
        this->head.append(text.substr(0, std::min(room, text.size())));
    }

    void write_to(completion_body& into) const
    {
        constexpr std::size_t limit = std::numeric_limits<std::uint32_t>::max();
        into.prompt_bytes =
            static_cast<std::uint32_t>(std::min(this->bytes, limit));
        const std::string text = into.model + '\n' + this->head;
        const XXH64_hash_t hash = XXH64(text.data(), text.size(), 0);
        into.prefix = hash == 0 ? 1 : hash;
    }

private:
    std::size_t bytes = 0;
    std::string head;
};

std::string_view text_of(const json::value& value)
{
    const json::string& text = value.get_string();
    return {text.data(), text.size()};
}

leaf::result<void> read_prompt(const json::object& body, prompt_digest& digest)
{
    const json::value* const prompt = body.if_contains("prompt");
    if (prompt && prompt->is_string())
    {
        digest.add(text_of(*prompt));
        return {};
    }
    const json::array* const list = prompt ? prompt->if_array() : nullptr;
    if (!list || list->empty())
        return leaf::new_error(
            client_error("prompt takes a string or a list of strings"));
    for (const json::value& item : *list)
    {
        if (!item.is_string())
            return leaf::new_error(
                client_error("prompt takes a string or a list of strings"));
        digest.add(text_of(item));
    }
    return {};
}

/// Reads one part of a message's content. Only `text` is digested; the engine
/// validates the other members.
leaf::result<void> read_part(const json::value& part, prompt_digest& digest)
{
    const json::object* const object = part.if_object();
    if (!object)
        return leaf::new_error(client_error("content takes a list of objects"));
    const json::value* const text = object->if_contains("text");
    if (text && text->is_string())
        digest.add(text_of(*text));
    return {};
}

leaf::result<void> read_message(const json::value& item, prompt_digest& digest)
{
    const json::object* const message = item.if_object();
    const json::value* const role =
        message ? message->if_contains("role") : nullptr;
    if (!role || !role->is_string())
        return leaf::new_error(client_error("each message needs a role"));
    const json::value* const content = message->if_contains("content");
    if (!content || content->is_null())
        return {};
    if (content->is_string())
    {
        digest.add(text_of(*content));
        return {};
    }
    if (!content->is_array())
        return leaf::new_error(
            client_error("content takes a string or a list"));
    for (const json::value& part : content->get_array())
    {
        BOOST_LEAF_CHECK(read_part(part, digest));
    }
    return {};
}

leaf::result<void>
read_messages(const json::object& body, prompt_digest& digest)
{
    const json::value* const messages = body.if_contains("messages");
    if (!messages || !messages->is_array() || messages->get_array().empty())
        return leaf::new_error(
            client_error("messages takes a list of messages"));
    bool first = true;
    for (const json::value& message : messages->get_array())
    {
        if (!std::exchange(first, false))
            digest.add("\n");
        BOOST_LEAF_CHECK(read_message(message, digest));
    }
    return {};
}

leaf::result<void> read_model(const json::object& body, completion_body& into)
{
    const json::value* const model = body.if_contains("model");
    if (!model || !model->is_string())
        return leaf::new_error(client_error("model takes a name"));
    into.model = text_of(*model);
    if (!is_printable(into.model, max_model_name_length, false))
        return leaf::new_error(client_error(
            "model takes 1 to 128 printable characters without spaces"));
    return {};
}

leaf::result<void> read_options(const json::object& body, completion_body& into)
{
    const json::value* const stream = body.if_contains("stream");
    if (stream && !stream->is_null())
    {
        if (!stream->is_bool())
            return leaf::new_error(client_error("stream takes true or false"));
        into.stream = stream->get_bool();
    }
    const json::value* limit = body.if_contains("max_tokens");
    if (!limit)
        limit = body.if_contains("max_completion_tokens");
    if (!limit || limit->is_null())
        return {};
    json::error_code error;
    const auto value = limit->to_number<std::int64_t>(error);
    const bool whole = limit->is_int64() || limit->is_uint64();
    if (!whole || error || value < 1 || value > max_tokens_limit)
        return leaf::new_error(client_error("max_tokens takes 1 to 1000000"));
    into.max_tokens = static_cast<std::uint32_t>(value);
    return {};
}

} // namespace

leaf::result<completion_body>
parse_completion_body(std::string_view body, bool chat)
{
    json::monotonic_resource memory;
    json::parse_options options;
    options.max_depth = max_depth;
    json::error_code error;
    const json::value parsed =
        json::parse({body.data(), body.size()}, error, &memory, options);
    if (error || !parsed.is_object())
        return leaf::new_error(client_error("the body isn't a JSON object"));
    const json::object& object = parsed.get_object();
    completion_body result;
    prompt_digest digest;
    BOOST_LEAF_CHECK(read_model(object, result));
    BOOST_LEAF_CHECK(read_options(object, result));
    if (chat)
    {
        BOOST_LEAF_CHECK(read_messages(object, digest));
    }
    else
    {
        BOOST_LEAF_CHECK(read_prompt(object, digest));
    }
    digest.write_to(result);
    return result;
}

} // namespace roseworks::edge
