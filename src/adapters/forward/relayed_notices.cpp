#include "adapters/forward/relayed_notices.hpp"

#include "adapters/forward/notice_headers.hpp"
#include "adapters/forward/response_head.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>

namespace roseworks::forward
{

namespace
{

std::optional<response_head> parse_head(std::string_view text)
{
    boost::beast::http::response_parser<boost::beast::http::empty_body> parser;
    boost::system::error_code error;
    parser.put(boost::asio::buffer(text.data(), text.size()), error);
    if (!parser.is_header_done())
        return std::nullopt;
    return parser.get().base();
}

/// @return The server at an address; null: none is known.
const server_identity*
find_in(const serving_table_ptr& table, const std::string& address)
{
    return table ? table->find_server(address) : nullptr;
}

} // namespace

relayed_notices::relayed_notices(forward_context& shared)
    : context(shared)
{
}

std::string relayed_notices::rejection_for(std::string_view server) const
{
    const std::string address(server);
    const serving_table_ptr table = this->context.ports.table();
    const server_identity* known = find_in(table, address);
    if (known == nullptr || this->context.ports.dispatch.takes_requests(
                                {known->engine, address}, known->instance))
        return {};
    return "HTTP/1.1 503 Service Unavailable\r\n" +
           this->context.names.not_run +
           ": 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

void relayed_notices::response_relayed(
    std::string_view server, std::string_view head)
{
    const std::string address(server);
    const serving_table_ptr table = this->context.ports.table();
    const server_identity* known = find_in(table, address);
    const auto parsed = parse_head(head);
    if (known == nullptr || !parsed)
        return;
    const response_source source = source_of(
        *parsed,
        this->context.names,
        known->instance,
        static_cast<bool>(known->engine));
    if (source == response_source::unknown)
        return;
    const server_notice notice =
        source == response_source::server
            ? parse_notice(*parsed, this->context.names)
            : server_notice{.replaced = true};
    this->context.ports.dispatch.server_stated(
        {known->engine, address}, known->instance, notice);
    // When the request was sent isn't known, so what the response lacks doesn't
    // end anything.
    this->context.ports.response_received(*known, notice, instant::min());
}

} // namespace roseworks::forward
