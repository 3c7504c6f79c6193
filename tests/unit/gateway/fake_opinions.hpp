#pragma once

#include "ports/reach_opinion_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <string>
#include <utility>
#include <vector>

namespace roseworks::testing
{

/// Gives the same opinion on all servers.
class fake_opinions final : public reach_opinion_port
{
public:
    explicit fake_opinions(boost::asio::io_context& context)
        : loop(context)
    {
    }

    void ask(const std::string& server, handler on_done) override
    {
        this->asked.push_back(server);
        boost::asio::post(
            this->loop,
            [this, on_done = std::move(on_done)]
            {
                on_done(this->opinion);
            });
    }

    void stop() override {}

    reach_opinion opinion = reach_opinion::unknown;
    std::vector<std::string> asked;

private:
    boost::asio::io_context& loop;
};

} // namespace roseworks::testing
