#include "endless_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace roseworks::forward::tests
{

namespace
{

constexpr std::size_t piece_bytes = std::size_t(64) << 10;

} // namespace

endless_server::endless_server(endless_bytes what, int answers_before)
    : content(std::move(what))
    , complete_answers(answers_before)
    , server(
          [this](edge::tests::backend_peer& peer)
          {
              this->serve(peer);
          })
{
}

void endless_server::serve(edge::tests::backend_peer& peer)
{
    while (this->received < this->complete_answers)
    {
        if (peer.read_request().empty())
            return;
        ++this->received;
        peer.send("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
                  "Content-Length: 2\r\n\r\nok");
    }
    if (this->complete_answers == 0)
    {
        if (peer.read_request().empty())
            return;
        ++this->received;
    }
    peer.send(this->content.first);
    std::string piece;
    while (piece.size() < piece_bytes)
        piece += this->content.repeat;
    boost::system::error_code error;
    while (!error && this->bytes_sent < max_bytes)
        this->bytes_sent +=
            boost::asio::write(peer.socket, boost::asio::buffer(piece), error);
    peer.shut_down();
}

} // namespace roseworks::forward::tests
