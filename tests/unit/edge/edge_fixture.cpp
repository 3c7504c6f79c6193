#include "edge_fixture.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace roseworks::edge::tests
{

namespace
{

constexpr std::chrono::seconds poll_timeout{20};

bool may_retry(const request_info& info, const attempt_result& result)
{
    using end = attempt_result::end;
    const bool not_executed =
        result.how == end::not_sent || result.how == end::refused_not_run;
    const bool broken = result.how == end::broken ||
                        result.how == end::no_progress ||
                        result.how == end::stopped;
    const bool whole_or_resumed = !result.answer_started || result.resumable;
    return whole_or_resumed && (not_executed || (broken && info.repeatable));
}

} // namespace

ticket fake_dispatch::submit(request_info info, reply_handler handler)
{
    const std::lock_guard lock(this->mutex);
    const ticket request(++this->last);
    entry& added = this->entries[request];
    added = {std::move(info), std::move(handler)};
    if (this->grants_enabled)
        this->send_grant(request, added);
    ++this->submitted;
    return request;
}

void fake_dispatch::send_grant(ticket request, entry& what)
{
    grant given;
    given.request = request;
    given.engine = engine_id(what.info.is_service ? 0 : 1);
    given.address = this->address;
    given.attempt = what.attempts++;
    what.handler(given);
}

dispatcher::finish
fake_dispatch::finished(ticket request, const attempt_result& result)
{
    constexpr std::uint32_t max_attempts = 3;
    const std::lock_guard lock(this->mutex);
    this->ended.push_back(result);
    entry& known = this->entries.at(request);
    if (result.how == attempt_result::end::answered ||
        result.how == attempt_result::end::caller_left)
        return {};
    if (may_retry(known.info, result) && known.attempts < max_attempts)
    {
        this->send_grant(request, known);
        return {false, verdict::not_run, refusal_reason::none};
    }
    using end = attempt_result::end;
    const bool not_executed =
        result.how == end::not_sent || result.how == end::refused_not_run;
    const auto reason = result.how == end::no_progress
                            ? refusal_reason::backend_timeout
                            : refusal_reason::backend_failed;
    return {
        true, not_executed ? verdict::not_run : verdict::may_have_run, reason};
}

void fake_dispatch::abandon(ticket)
{
    ++this->abandoned;
}

void fake_dispatch::drain()
{
    this->drained = true;
}

std::vector<attempt_result> fake_dispatch::results() const
{
    const std::lock_guard lock(this->mutex);
    return this->ended;
}

void fake_claims::claim(const claim_request& asked, result_handler handler)
{
    ++this->claimed;
    this->asked_content = asked.content;
    this->asked_issued = asked.issued;
    claim_result result = this->given;
    result.key = asked.key;
    handler(result);
}

void fake_claims::close(claim_close what)
{
    const std::lock_guard lock(this->mutex);
    this->closes.push_back(std::move(what));
}

std::vector<claim_close> fake_claims::closed() const
{
    const std::lock_guard lock(this->mutex);
    return this->closes;
}

instant steady_clock_port::now() const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<duration>(now));
}

test_caller::test_caller(std::uint16_t port)
    : socket(this->context)
{
    this->socket.connect({asio::ip::address_v4::loopback(), port});
}

void test_caller::send(std::string_view text)
{
    boost::system::error_code ignored;
    asio::write(this->socket, asio::buffer(text.data(), text.size()), ignored);
}

std::optional<http_answer> test_caller::read()
{
    http_answer answer;
    boost::system::error_code error;
    http::read(this->socket, this->buffer, answer, error);
    if (error)
        return std::nullopt;
    return answer;
}

std::string test_caller::read_until(std::string_view delimiter)
{
    std::string text;
    boost::system::error_code ignored;
    asio::read_until(
        this->socket,
        asio::dynamic_buffer(text),
        std::string(delimiter),
        ignored);
    return text;
}

void test_caller::close()
{
    this->socket.close();
}

edge_fixture::edge_fixture(
    edge_options options, std::function<tls::context_ptr()> certificate)
{
    constexpr int traffic_threads = 2;
    std::vector<asio::any_io_executor> executors;
    for (int i = 0; i < traffic_threads; ++i)
    {
        this->loops.push_back(std::make_unique<asio::io_context>(1));
        this->guards.emplace_back(this->loops.back()->get_executor());
        executors.emplace_back(this->loops.back()->get_executor());
    }
    edge_dependencies dependencies{
        this->dispatch,
        this->claims,
        this->introspection,
        this->observer,
        this->events,
        this->clock,
        []
        {
            return routing_table_ptr();
        },
        std::move(certificate)};
    this->edge = std::make_unique<server>(
        options, std::move(dependencies), std::move(executors));
}

edge_fixture::~edge_fixture()
{
    for (const auto& loop : this->loops)
        loop->stop();
    for (std::thread& thread : this->threads)
        thread.join();
    this->edge.reset();
}

std::uint16_t edge_fixture::start()
{
    this->port = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::uint16_t>
        {
            BOOST_LEAF_AUTO(
                bound,
                this->edge->listen({asio::ip::address_v4::loopback(), 0}));
            return bound.port();
        },
        []
        {
            return std::uint16_t(0);
        });
    for (const auto& loop : this->loops)
        this->threads.emplace_back(
            [&context = *loop]
            {
                context.run();
            });
    return this->port;
}

test_caller edge_fixture::caller()
{
    return test_caller(this->port);
}

http_answer edge_fixture::call(std::string_view text)
{
    test_caller caller(this->port);
    caller.send(text);
    return caller.read().value_or(http_answer());
}

bool eventually(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + poll_timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::yield();
    }
    return true;
}

std::string completion(std::string_view extra_headers, bool stream)
{
    const std::string body = stream
                                 ? R"({"model":"m","prompt":"p","stream":true})"
                                 : R"({"model":"m","prompt":"p"})";
    return "POST /v1/completions HTTP/1.1\r\nHost: r\r\n" +
           std::string(extra_headers) +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string service_call(std::string_view extra_headers)
{
    return "POST /services/dispatch/send?x=1 HTTP/1.1\r\nHost: r\r\n" +
           std::string(extra_headers) + "Content-Length: 2\r\n\r\nhi";
}

} // namespace roseworks::edge::tests
