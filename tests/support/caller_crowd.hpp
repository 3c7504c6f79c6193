#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::test
{

/// A caller that sends any bytes and reads no response.
class raw_caller
{
public:
    /// Connects.
    /// @param address ip:port, on loopback.
    explicit raw_caller(std::string_view address);

    /// @return Whether the other side took all bytes.
    bool send(std::string_view bytes);

    /// Sends the same bytes again and again.
    /// @return Whether the other side took all of them.
    bool send_repeated(std::string_view bytes, std::size_t times);

    /// Sends the same bytes until the kernel takes no more, or so many were
    /// taken.
    void fill(std::string_view bytes, std::size_t max_bytes);

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
};

/// Callers whose connections stay open until the crowd goes.
class caller_crowd
{
public:
    caller_crowd(std::string_view address, std::size_t count);

    /// Has each caller do something, some of them at a time.
    void each(const std::function<void(raw_caller&)>& action);

private:
    std::vector<std::unique_ptr<raw_caller>> callers;
};

/// @return The bytes as one chunk of a chunked body.
std::string chunk_of(std::string_view content);

/// Sends a body of that size in chunks, without its end.
/// @return Whether the other side took it all.
bool send_chunks(
    raw_caller& caller, std::size_t body_bytes, std::size_t chunk_bytes);

} // namespace roseworks::test
