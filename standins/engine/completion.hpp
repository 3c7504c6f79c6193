#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::standins
{

/// A chat or a legacy completion, as a caller asks for it.
struct completion_request
{
    std::string model;
    std::string prompt; ///< a chat's contents, joined by line feeds
    std::uint64_t max_tokens = 0;
    bool stream = false;
    bool chat = false;
};

/// Throws `bad_request` when a field is missing or wrong.
completion_request parse_completion(const boost::json::object& body, bool chat);

/// Makes the answer: its tokens are `t<i>-<first 8 hex of the prompt's XXH64>`,
/// joined by blanks, so that a caller can tell its own answer.
class completion_writer
{
public:
    /// @param numbered whether the events of a stream carry ids.
    completion_writer(
        const completion_request& asked,
        std::string_view request_id,
        bool numbered);

    /// Names what the tokens depend on, as an `ETag`.
    [[nodiscard]] std::string tag(std::string_view version) const;

    /// One server-sent event with one token; the last one says `length`.
    [[nodiscard]] std::string token_event(std::uint64_t index) const;

    /// The event that ends a cancelled stream.
    [[nodiscard]] std::string cancelled_event() const;

    [[nodiscard]] static std::string done_event();

    /// The whole answer in one piece.
    [[nodiscard]] boost::json::object whole() const;

private:
    [[nodiscard]] std::string token(std::uint64_t index) const;
    [[nodiscard]] std::string
    event(std::string_view text, boost::json::value finish_reason) const;
    [[nodiscard]] boost::json::object
    envelope(std::string_view object_kind, boost::json::object choice) const;

    const completion_request& request;
    std::string id;
    std::string mark;
    bool with_ids;
};

} // namespace roseworks::standins
