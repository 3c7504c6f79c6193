#pragma once

#include "adapters/platform/http_client.hpp"
#include "ports/vm_list_port.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace roseworks::platform
{

/** Polls the platform's VM list over HTTP.

    A server that supports `ETag` and `If-None-Match` doesn't send an unchanged
    list again. The listener then receives the last list again, because each
    successful poll confirms the list.

    All calls run on the executor's single thread, and the object must outlive
    the last run of its context.
*/
class http_vm_list_client final : public vm_list_port
{
public:
    struct options
    {
        std::chrono::milliseconds poll{1000};
        std::chrono::milliseconds timeout{2000};
        const tls::connector* tls_connector = nullptr; ///< null: plain HTTP
    };

    http_vm_list_client(
        boost::asio::any_io_executor executor,
        boost::asio::ip::tcp::endpoint server,
        const options& settings,
        byte_meter& meter);

    void start(vm_list_listener& listener) override;
    void stop() override;

private:
    boost::asio::awaitable<void> poll();
    void handle_answer(const http_answer& answer);

    boost::asio::any_io_executor executor;
    options settings;
    http_client client;
    boost::asio::steady_timer timer;
    vm_list_listener* listener = nullptr;
    std::string etag;               ///< of `last_vms`; empty: none
    std::vector<vm_entry> last_vms; ///< empty if `etag` is empty
    bool is_stopped = false;
};

} // namespace roseworks::platform
