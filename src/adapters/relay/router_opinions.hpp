#pragma once

#include "adapters/edge/net.hpp"
#include "adapters/relay/relay_messages.hpp"
#include "core/reach/relay_selector.hpp"
#include "ports/reach_opinion_port.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace roseworks::relay
{

/// Asks several other routers at once to open a connection to a server and to
/// close it again. Runs on the control thread.
class router_opinions final : public reach_opinion_port
{
public:
    struct options
    {
        std::size_t max_routers = 8; ///< that are asked about one server
        /// Longer than the attempts that the other router makes for an answer.
        std::chrono::milliseconds timeout{500};
        std::uint64_t seed = 1;
    };

    router_opinions(edge::asio::io_context& loop, options settings);

    /// @param all All routers except this one.
    void set_routers(std::vector<relay_router> all)
    {
        this->routers = std::move(all);
    }

    void ask(const std::string& server, handler on_done) override;
    void stop() override;

private:
    struct question;
    using question_ptr = std::shared_ptr<question>;

    edge::asio::awaitable<void>
    ask_one(question_ptr current, edge::tcp::endpoint router);
    void answered(const question_ptr& current, relay_status status);

    edge::asio::io_context& loop;
    options settings;
    std::vector<relay_router> routers;
    std::mt19937_64 random;
    bool stopped = false;
};

} // namespace roseworks::relay
