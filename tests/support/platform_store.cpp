#include "tests/support/platform_store.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

namespace roseworks::test
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr unsigned bits_in_byte = 8;
constexpr std::size_t page_keys = 500;

std::string http(unsigned status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string parameter(const std::string& target, const std::string& name)
{
    std::size_t start = target.find('?' + name + '=');
    if (start == std::string::npos)
        start = target.find('&' + name + '=');
    if (start == std::string::npos)
        return {};
    const std::size_t from = start + name.size() + 2;
    return target.substr(from, target.find('&', from) - from);
}

std::uint64_t number_of(const std::string& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string big_endian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    for (std::size_t i = bytes; i > 0; --i)
        text += static_cast<char>(value >> ((i - 1) * bits_in_byte) & 0xFF);
    return text;
}

std::string base64(const std::string& text)
{
    namespace coder = boost::beast::detail::base64;
    std::string result(coder::encoded_size(text.size()), '\0');
    result.resize(coder::encode(result.data(), text.data(), text.size()));
    return result;
}

std::size_t length_of(const std::string& head)
{
    const std::string name = "Content-Length: ";
    const std::size_t start = head.find(name);
    if (start == std::string::npos)
        return 0;
    return number_of(head.substr(start + name.size()));
}

} // namespace

platform_store::door::door(asio::io_context& context)
    : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
}

platform_store::platform_store(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        this->doors.push_back(std::make_unique<door>(this->context));
    for (std::size_t i = 0; i < count; ++i)
        this->threads.emplace_back(
            [this, i]
            {
                this->accept(i);
            });
}

platform_store::~platform_store()
{
    std::vector<std::thread> ended;
    {
        const std::scoped_lock lock(this->mutex);
        this->closing = true;
        boost::system::error_code ignored;
        for (const auto& one : this->doors)
            ::shutdown(one->acceptor.native_handle(), SHUT_RDWR);
        for (const auto& socket : this->sockets)
            socket->shutdown(tcp::socket::shutdown_both, ignored);
        ended.swap(this->threads);
    }
    this->written.notify_all();
    for (std::thread& thread : ended)
        thread.join();
}

std::string platform_store::address(std::size_t number) const
{
    const auto port = this->doors[number]->acceptor.local_endpoint().port();
    return "127.0.0.1:" + std::to_string(port);
}

void platform_store::turn_away(std::size_t number)
{
    const std::scoped_lock lock(this->mutex);
    this->doors[number]->is_open = false;
    this->written.notify_all();
}

void platform_store::write(
    const std::string& name, const std::string& key, const std::string& value)
{
    const std::scoped_lock lock(this->mutex);
    this->topics[name].push_back({key, value});
    this->written.notify_all();
}

std::size_t platform_store::keys(const std::string& name)
{
    const std::scoped_lock lock(this->mutex);
    std::vector<std::string> seen;
    for (const record& one : this->topics[name])
        seen.push_back(one.key);
    std::ranges::sort(seen);
    const auto rest = std::ranges::unique(seen);
    return seen.size() - rest.size();
}

int platform_store::listings(const std::string& name)
{
    const std::scoped_lock lock(this->mutex);
    return this->listings_begun[name];
}

int platform_store::answers_with_records(const std::string& name)
{
    const std::scoped_lock lock(this->mutex);
    return this->answers_by_topic[name];
}

void platform_store::accept(std::size_t number)
{
    while (true)
    {
        auto socket = std::make_shared<tcp::socket>(this->context);
        boost::system::error_code error;
        this->doors[number]->acceptor.accept(*socket, error);
        const std::scoped_lock lock(this->mutex);
        if (this->closing)
            return;
        if (error)
            continue;
        this->sockets.push_back(socket);
        this->threads.emplace_back(
            [this, socket, number]
            {
                this->serve(*socket, number);
            });
    }
}

void platform_store::serve(tcp::socket& socket, std::size_t number)
{
    std::string pending;
    boost::system::error_code error;
    while (!error)
    {
        const std::size_t head_size = asio::read_until(
            socket, asio::dynamic_buffer(pending), "\r\n\r\n", error);
        if (error)
            return;
        const std::string head = pending.substr(0, head_size);
        const std::size_t whole = head_size + length_of(head);
        while (!error && pending.size() < whole)
        {
            char more[4096];
            const std::size_t size =
                socket.read_some(asio::buffer(more), error);
            pending.append(more, size);
        }
        const std::string body = pending.substr(head_size, whole - head_size);
        pending.erase(0, whole);
        bool is_open = true;
        {
            const std::scoped_lock lock(this->mutex);
            is_open = this->doors[number]->is_open;
        }
        std::string told = is_open ? this->answer(head, body) : http(503, "");
        {
            // A read that was held meanwhile is turned away, too.
            const std::scoped_lock lock(this->mutex);
            if (!this->doors[number]->is_open)
                told = http(503, "");
        }
        asio::write(socket, asio::buffer(told), error);
    }
}

std::string
platform_store::answer(const std::string& head, const std::string& body)
{
    const std::size_t start = head.find(' ') + 1;
    const std::string target =
        head.substr(start, head.find(' ', start) - start);
    if (target.starts_with("/log-newest"))
        return this->list(target);
    if (target.starts_with("/log-read"))
        return this->read(target);
    if (target.starts_with("/log-append"))
        return this->append(target, body);
    if (target.starts_with("/log-join"))
        return this->join(body);
    return http(200, "{}");
}

std::string platform_store::list(const std::string& target)
{
    const std::scoped_lock lock(this->mutex);
    const std::string name = parameter(target, "topic");
    const std::string after = parameter(target, "after");
    const topic& records = this->topics[name];
    if (after.empty())
        ++this->listings_begun[name];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i)
        newest[records[i].key] = i;
    json::array items;
    auto next = newest.upper_bound(after);
    for (; next != newest.end() && items.size() < page_keys; ++next)
        items.push_back(json::object{
            {"key", next->first},
            {"value", base64(records[next->second].value)},
            {"offset", next->second}});
    this->answers_by_topic[name] += items.empty() ? 0 : 1;
    const json::object page{
        {"items", items},
        {"end", records.size()},
        {"has_more", next != newest.end()}};
    return http(200, json::serialize(page));
}

std::string platform_store::read(const std::string& target)
{
    std::unique_lock lock(this->mutex);
    const std::string name = parameter(target, "topic");
    const auto from =
        static_cast<std::size_t>(number_of(parameter(target, "from")));
    const std::chrono::milliseconds wait(
        number_of(parameter(target, "wait_ms")));
    this->written.wait_for(
        lock,
        wait,
        [&]
        {
            return this->closing || this->topics[name].size() > from;
        });
    const topic& records = this->topics[name];
    this->answers_by_topic[name] += records.size() > from ? 1 : 0;
    std::string page = big_endian(records.size(), 8) + big_endian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i)
    {
        const record& one = records[i];
        page += big_endian(1 + one.key.size() + one.value.size(), length_bytes);
        page += static_cast<char>(one.key.size());
        page += one.key + one.value;
    }
    return http(200, page);
}

std::string
platform_store::append(const std::string& target, const std::string& body)
{
    const auto key_size = static_cast<unsigned char>(body[length_bytes]);
    this->write(
        parameter(target, "topic"),
        body.substr(length_bytes + 1, key_size),
        body.substr(length_bytes + 1 + key_size));
    return http(200, R"({"offset":0,"end":1})");
}

std::string platform_store::join(const std::string& body)
{
    const std::scoped_lock lock(this->mutex);
    const json::object asked = json::parse(body).as_object();
    const std::string member(asked.at("member").as_string());
    if (this->owner.empty())
        this->owner = member;
    const std::string mine = R"([["placement",0,0]])";
    return http(
        200,
        R"({"generation":5,"parts":)" +
            std::string(this->owner == member ? mine : "[]") + "}");
}

} // namespace roseworks::test
