#pragma once

#include <boost/asio/compose.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <utility>

namespace roseworks::tls
{

/** A TCP stream that counts the bytes written to its socket.

    When a write fails, Asio's TLS stream reports that no bytes were written,
    even if some TLS records were already sent. This count shows whether any
    were. Bytes are counted when the operation that wrote them completes.
*/
class byte_counting_stream : public boost::beast::tcp_stream
{
public:
    using base_stream = boost::beast::tcp_stream;
    using base_stream::base_stream;

    template <class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token)
    {
        return boost::asio::
            async_compose<Token, void(boost::system::error_code, std::size_t)>(
                [this, buffers, started = false](
                    auto& self,
                    boost::system::error_code error = {},
                    std::size_t size = 0) mutable
                {
                    if (!started)
                    {
                        started = true;
                        const Buffers data = buffers;
                        this->base_stream::async_write_some(
                            data, std::move(self));
                        return;
                    }
                    this->bytes_written += size;
                    self.complete(error, size);
                },
                token,
                *this);
    }

    std::uint64_t written() const
    {
        return this->bytes_written;
    }

private:
    std::uint64_t bytes_written = 0;
};

} // namespace roseworks::tls
