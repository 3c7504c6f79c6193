#include "adapters/tls/connector.hpp"

#include <sstream>
#include <utility>

namespace roseworks::tls
{

namespace asio = boost::asio;

namespace
{

/// More addresses than a router meets; the memory of failures stays small.
constexpr std::size_t max_told = 4096;

std::optional<certificate_error::role> decided_by(const handshake_end& end)
{
    if (end.untrusted)
        return certificate_error::role::trusted;
    if (end.refused)
        return certificate_error::role::certificate;
    return std::nullopt;
}

} // namespace

connector::connector(const context_source& contexts, report failed)
    : source(contexts)
    , tell(std::move(failed))
{
}

asio::awaitable<bool> connector::secure(secure_stream& stream) const
{
    boost::system::error_code error;
    const auto server = stream.socket().remote_endpoint(error);
    if (error)
        co_return false;
    const std::string address = (std::ostringstream() << server).str();
    const handshake_end end =
        co_await stream.connect_tls(this->source.current(), server.address());
    if (end.secured)
        this->succeeded(address);
    else
        this->failed({address, decided_by(end), end.reason});
    co_return end.secured;
}

void connector::succeeded(const std::string& address) const
{
    const std::scoped_lock lock(this->mutex);
    this->told.erase(address);
}

void connector::failed(handshake_failure what) const
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->told.size() >= max_told)
            this->told.clear();
        std::string& last = this->told[what.address];
        if (last == what.reason)
            return;
        last = what.reason;
    }
    this->tell(what);
}

} // namespace roseworks::tls
