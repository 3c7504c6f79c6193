#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace roseworks::testing
{

/// The server's behaviour for one request.
struct scripted_answer
{
    enum class mode
    {
        answer,
        disconnect, ///< reads the request and closes without an answer
        truncate,   ///< closes in the middle of the answer's body
        no_answer   ///< never answers
    };

    mode answer_mode = mode::answer;
    unsigned status = 200;
    std::string body;
    std::string headers = {}; ///< complete lines, each with its CRLF
};

/// An HTTP server on the loopback interface. A test decides on the answer to
/// each request.
class scripted_server
{
public:
    using request =
        boost::beast::http::request<boost::beast::http::string_body>;
    using script = std::function<scripted_answer(const request&)>;

    scripted_server(boost::asio::io_context& context, script answers);
    ~scripted_server();

    boost::asio::ip::tcp::endpoint endpoint() const;

    /// Stops accepting and closes all connections.
    void stop();

    /// Requests received so far.
    std::vector<request> requests;
    std::size_t connections = 0;

private:
    struct session;

    void accept();
    void read(const std::shared_ptr<session>& on);
    void answer(const std::shared_ptr<session>& on);

    boost::asio::ip::tcp::acceptor acceptor;
    script answers;
    std::vector<std::shared_ptr<session>> sessions;
};

/// Runs the context until the condition holds, for at most 20 s.
/// @return Whether the condition holds.
bool run_until(
    boost::asio::io_context& context, const std::function<bool()>& condition);

} // namespace roseworks::testing
