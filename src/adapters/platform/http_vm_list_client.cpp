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
    result.secured_by = settings.secured_by;
    return result;
}

} // namespace

http_vm_list_client::http_vm_list_client(
    asio::any_io_executor on,
    asio::ip::tcp::endpoint server,
    const options& wanted,
    byte_meter& meter)
    : executor(on)
    , settings(wanted)
    , client(on, server, connection_options(wanted), meter)
    , timer(on)
{
}

void http_vm_list_client::start(vm_list_listener& wanted)
{
    this->listener = &wanted;
    asio::co_spawn(this->executor, this->poll(), rethrow);
}

void http_vm_list_client::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->client.break_connections();
}

asio::awaitable<void> http_vm_list_client::poll()
{
    while (!this->stopped)
    {
        http_call call;
        call.target = "/v1/vms";
        call.timeout = this->settings.timeout;
        call.if_none_match = this->version;
        const http_answer answer = co_await this->client.send(std::move(call));
        if (this->stopped)
            co_return;
        this->take(answer);

        boost::system::error_code ignored;
        this->timer.expires_after(this->settings.poll);
        co_await this->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void http_vm_list_client::take(const http_answer& answer)
{
    if (answer.is(status_not_modified) && !this->version.empty())
    {
        this->listener->vms_listed(this->last);
        return;
    }
    // Only a whole list that could be read is worth a question for changes.
    this->version.clear();
    this->last.clear();
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
            this->version = answer.etag;
            this->last = std::move(vms);
            return {};
        },
        [&]
        {
            this->listener->vm_list_failed();
        });
}

} // namespace roseworks::platform
