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

/// What the scripted server does with a request.
struct scripted_answer
{
    enum class kind
    {
        answer,
        close, ///< take the request, close without an answer
        cut,   ///< close in the middle of the answer's body
        hold   ///< never answer
    };

    kind how = kind::answer;
    unsigned status = 200;
    std::string body;
    std::string headers = {}; ///< whole lines, each with its line end
};

/// An HTTP server on loopback whose answers a test decides one by one.
class scripted_server
{
public:
    using request =
        boost::beast::http::request<boost::beast::http::string_body>;
    using script = std::function<scripted_answer(const request&)>;

    scripted_server(boost::asio::io_context& context, script answers);
    ~scripted_server();

    boost::asio::ip::tcp::endpoint endpoint() const;

    /// Stops accepting and breaks all connections.
    void stop();

    /// Requests taken so far.
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

/// Runs the context until the condition holds.
/// @return Whether it held within a generous limit.
bool run_until(
    boost::asio::io_context& context, const std::function<bool()>& condition);

} // namespace roseworks::testing
