#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace roseworks::edge
{

/** A request body as a string (Beast's Body concept).

    Unlike Beast's string body it reserves nothing for an announced length, so
    that a caller who announces a body without sending it occupies no memory.
*/
struct caller_body
{
    using value_type = std::string;

    static std::uint64_t size(const value_type& body)
    {
        return body.size();
    }

    /// Beast's BodyReader concept.
    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& into)
            : body(into)
        {
        }

        void init(
            const boost::optional<std::uint64_t>& /*length*/,
            boost::beast::error_code& error)
        {
            error = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& pieces, boost::beast::error_code& error)
        {
            error = {};
            const std::size_t before = this->body.size();
            for (const auto piece : boost::beast::buffers_range_ref(pieces))
                this->body.append(
                    static_cast<const char*>(piece.data()), piece.size());
            return this->body.size() - before;
        }

        void finish(boost::beast::error_code& error)
        {
            error = {};
        }

    private:
        value_type& body;
    };
};

} // namespace roseworks::edge
