#pragma once

#include "adapters/tls/secure_stream.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <boost/url/url_view.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::standins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

using http_request = http::request<http::string_body>;

/// One HTTP request and its answer, which a handler may give late, in one
/// piece (`send_*`) or as a stream (`start_stream`, `write`, `finish_stream`).
/// A handler that returns without an answer closes the connection.
class exchange
{
public:
    exchange(tls::secure_stream& stream, const http_request& request);

    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    [[nodiscard]] const http_request& request() const;

    /// The decoded path, without the query.
    [[nodiscard]] const std::string& path() const;

    [[nodiscard]] bool is(http::verb verb, std::string_view path) const;

    /// A header's value, empty when it is missing.
    [[nodiscard]] std::string header(std::string_view name) const;

    /// A query parameter, empty when it is missing.
    [[nodiscard]] std::string query(std::string_view name) const;

    /// A whole number from the query.
    ///
    /// @param name     the parameter.
    /// @param fallback returned when the parameter is missing.
    /// @return         the number; throws `bad_request` when it is none.
    [[nodiscard]] std::uint64_t
    query_number(std::string_view name, std::uint64_t fallback) const;

    /// The body as a JSON object; throws `bad_request` when it is none.
    [[nodiscard]] json::object body_object() const;

    /// Adds a header to the answer; call it before the answer begins.
    void set_header(std::string_view name, std::string_view value);

    asio::awaitable<void> send_json(unsigned status, json::value body);
    asio::awaitable<void>
    send_bytes(unsigned status, std::string content_type, std::string body);

    asio::awaitable<void> start_stream(std::string content_type);
    asio::awaitable<void> write(std::string chunk);
    asio::awaitable<void> finish_stream();

    /// From now on nothing reaches the caller: the handler runs on, what it
    /// sends is discarded, and the connection is closed when it returns.
    void lose_answer();

    /// True when the caller has closed its side or a write has failed. False
    /// after `lose_answer`, so that the effect takes place in full.
    [[nodiscard]] bool client_gone();

    /// True once any part of an answer was handed over.
    [[nodiscard]] bool answered() const;

    /// True when the connection may carry another request.
    [[nodiscard]] bool reusable() const;

private:
    template <class Message>
    void fill_header(Message& message) const;

    tls::secure_stream& stream;
    const http_request& received;
    boost::urls::url_view target;
    std::string decoded_path;
    http::fields extra_headers;
    bool lost = false;
    bool failed = false;
    bool begun = false;
    bool finished = false;
};

/// Reads a decimal number from 0; empty when the text is none.
std::optional<std::uint64_t> parse_whole_number(std::string_view text);

/// Waits on the executor of the calling coroutine.
asio::awaitable<void> sleep_for(std::chrono::microseconds duration);

} // namespace roseworks::standins
