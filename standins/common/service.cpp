#include "standins/common/service.hpp"

#include <utility>

namespace roseworks::standins
{

asio::awaitable<void> service::handle(exchange& call)
{
    if (call.is(http::verb::post, "/control"))
    {
        this->control(call.body_object());
        json::object body;
        body["ok"] = true;
        co_await call.send_json(200, std::move(body));
        co_return;
    }
    if (call.is(http::verb::get, "/ledger"))
    {
        json::object body = this->ledger();
        co_await call.send_json(200, std::move(body));
        co_return;
    }
    co_await this->serve(call);
}

asio::awaitable<void> send_not_found(exchange& call)
{
    return send_error(call, 404, "not_found");
}

asio::awaitable<void>
send_error(exchange& call, unsigned status, std::string error)
{
    json::object body;
    body["error"] = error;
    co_await call.send_json(status, std::move(body));
}

} // namespace roseworks::standins
