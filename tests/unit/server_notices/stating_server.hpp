#pragma once

#include "fake_backend.hpp"
#include "forward_fixture.hpp"

#include <atomic>
#include <string>

namespace roseworks::forward::tests
{

/// A backend server that counts its requests. It can say in its responses that
/// it leaves, and can reject requests and ask for a pause.
class stating_server
{
public:
    stating_server()
        : backend(
              [this](backend_peer& peer)
              {
                  while (!peer.read_request().empty())
                      this->respond(peer);
              })
    {
    }

    /// From now on each response says that the server leaves.
    void leave()
    {
        this->leaving = true;
    }

    /// Rejects the next requests and asks for a pause.
    /// @param seconds Value of Retry-After.
    void reject(int requests, std::string seconds)
    {
        this->pause = std::move(seconds);
        this->rejections_left = requests;
    }

    /// From now on another server has the address: it takes no request that is
    /// meant for this one.
    void replace()
    {
        this->replaced = true;
    }

    /// From now on the response to each request ends after a part of the body.
    void cut_responses()
    {
        this->cutting = true;
    }

    int requests() const
    {
        return this->received;
    }

private:
    void respond(backend_peer& peer)
    {
        ++this->received;
        const std::string notice =
            this->leaving ? "Server-Leaving: 1\r\n" : std::string();
        if (this->rejections_left > 0)
        {
            --this->rejections_left;
            peer.send(
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: 9c41\r\n"
                "Not-Executed: 1\r\n" +
                notice + "Retry-After: " + this->pause +
                "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (this->replaced)
        {
            peer.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: 9c41\r\n"
                      "Content-Length: 0\r\n\r\n");
            return;
        }
        const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
                                 "Response-Seal: 3e1b\r\n" +
                                 notice;
        if (this->cutting)
        {
            peer.send(
                head + "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "12\r\nid: 1\ndata: one\n\n\r\n\r\n");
            peer.shut_down();
            return;
        }
        peer.send(head + "Content-Length: 5\r\n\r\nhello");
    }

    std::atomic<bool> leaving{false};
    std::atomic<bool> cutting{false};
    std::atomic<bool> replaced{false};
    std::atomic<int> rejections_left{0};
    std::atomic<int> received{0};
    std::string pause;

public:
    /// Last: its threads use the other members.
    fake_backend backend;
};

} // namespace roseworks::forward::tests
