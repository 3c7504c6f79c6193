#include "adapters/platform/http_vm_list_client.hpp"

#include "adapters/platform/platform_messages.hpp"
#include "adapters/platform/rethrow.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace roseworks::platform
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;

http_client::options
connection_options(const http_vm_list_client::options& settings)
{
    http_client::options result;
    result.tls_connector = settings.tls_connector;
    return result;
}

} // namespace

http_vm_list_client::http_vm_list_client(
    asio::any_io_executor executor,
    asio::ip::tcp::endpoint server,
    const options& settings,
    byte_meter& meter)
    : executor(executor)
    , settings(settings)
    , client(executor, server, connection_options(settings), meter)
    , timer(executor)
{
}

void http_vm_list_client::start(vm_list_listener& receiver)
{
    this->listener = &receiver;
    asio::co_spawn(this->executor, this->poll(), rethrow);
}

void http_vm_list_client::stop()
{
    this->is_stopped = true;
    this->timer.cancel();
    this->client.break_connections();
}

asio::awaitable<void> http_vm_list_client::poll()
{
    while (!this->is_stopped)
    {
        http_call call;
        call.target = "/v1/vms";
        call.timeout = this->settings.timeout;
        call.if_none_match = this->etag;
        const http_answer answer = co_await this->client.send(std::move(call));
        if (this->is_stopped)
            co_return;
        this->handle_answer(answer);

        boost::system::error_code ignored;
        this->timer.expires_after(this->settings.poll);
        co_await this->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void http_vm_list_client::handle_answer(const http_answer& answer)
{
    if (answer.is(status_not_modified) && !this->etag.empty())
    {
        this->listener->vms_listed(this->last_vms);
        return;
    }
    // Ask for changes only after a complete and valid list.
    this->etag.clear();
    this->last_vms.clear();
    if (!answer.is(status_ok))
    {
        this->listener->vm_list_failed();
        return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(vms, read_vm_list(answer.body));
            this->listener->vms_listed(vms);
            if (answer.etag.empty())
                return {};
            this->etag = answer.etag;
            this->last_vms = std::move(vms);
            return {};
        },
        [&]
        {
            this->listener->vm_list_failed();
        });
}

} // namespace roseworks::platform
