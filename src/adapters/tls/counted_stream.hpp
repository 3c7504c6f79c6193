#pragma once

#include <boost/asio/compose.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <utility>

namespace roseworks::tls
{

/** A TCP stream that counts the bytes which its socket has taken.

    Asio's TLS stream reports nothing written when a write fails, even when
    records have left by then; this count tells. Bytes are counted when their
    operation completes.
*/
class counted_stream : public boost::beast::tcp_stream
{
public:
    using uncounted = boost::beast::tcp_stream;
    using uncounted::uncounted;

    template <class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token)
    {
        return boost::asio::
            async_compose<Token, void(boost::system::error_code, std::size_t)>(
                [this, buffers, begun = false](
                    auto& self,
                    boost::system::error_code error = {},
                    std::size_t size = 0) mutable
                {
                    if (!begun)
                    {
                        begun = true;
                        const Buffers data = buffers;
                        this->uncounted::async_write_some(
                            data, std::move(self));
                        return;
                    }
                    this->taken += size;
                    self.complete(error, size);
                },
                token,
                *this);
    }

    std::uint64_t written() const
    {
        return this->taken;
    }

private:
    std::uint64_t taken = 0;
};

} // namespace roseworks::tls
