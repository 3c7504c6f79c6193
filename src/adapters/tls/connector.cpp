#include "adapters/tls/connector.hpp"

#include <sstream>
#include <utility>

namespace roseworks::tls
{

namespace asio = boost::asio;

namespace
{

/// Bounds the memory for reported failures. A router connects to fewer
/// addresses than this.
constexpr std::size_t max_recorded_addresses = 4096;

/// @return The certificate file that made the handshake fail, if one did.
std::optional<certificate_error::role>
failing_file(const handshake_result& result)
{
    if (result.server_untrusted)
        return certificate_error::role::trusted;
    if (result.client_refused)
        return certificate_error::role::certificate;
    return std::nullopt;
}

} // namespace

connector::connector(const context_source& contexts, failure_handler handler)
    : source(contexts)
    , on_failure(std::move(handler))
{
}

asio::awaitable<bool> connector::secure(secure_stream& stream) const
{
    boost::system::error_code error;
    const auto server = stream.socket().remote_endpoint(error);
    if (error)
        co_return false;
    const std::string address = (std::ostringstream() << server).str();
    const handshake_result result =
        co_await stream.connect_tls(this->source.current(), server.address());
    if (result.secured)
        this->record_success(address);
    else
        this->record_failure({address, failing_file(result), result.reason});
    co_return result.secured;
}

void connector::record_success(const std::string& address) const
{
    const std::scoped_lock lock(this->mutex);
    this->last_reasons.erase(address);
}

void connector::record_failure(handshake_failure failure) const
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->last_reasons.size() >= max_recorded_addresses)
            this->last_reasons.clear();
        std::string& last = this->last_reasons[failure.address];
        if (last == failure.reason)
            return;
        last = failure.reason;
    }
    this->on_failure(failure);
}

} // namespace roseworks::tls
