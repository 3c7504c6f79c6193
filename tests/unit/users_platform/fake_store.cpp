#include "fake_store.hpp"

#include "platform/store_frames.hpp"

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>
#include <charconv>

namespace roseworks::users_platform::tests
{

namespace
{

std::string http(unsigned status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string parameter(const std::string& request, const std::string& name)
{
    const std::size_t line = request.find("\r\n");
    const std::size_t start = request.find(name + "=");
    if (start == std::string::npos || start > line)
        return {};
    const std::size_t from = start + name.size() + 1;
    return request.substr(from, request.find_first_of("& ", from) - from);
}

std::uint64_t number_of(const std::string& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string base64(const std::string& text)
{
    namespace coder = boost::beast::detail::base64;
    std::string result(coder::encoded_size(text.size()), '\0');
    result.resize(coder::encode(result.data(), text.data(), text.size()));
    return result;
}

/// An answer without records: the end offset 1, as in listings, and the first
/// offset, 8 bytes each.
std::string empty_read_answer()
{
    std::string page(16, '\0');
    page[7] = 1;
    return page;
}

} // namespace

fake_store::fake_store()
    : server(
          [this](edge::tests::backend_peer& peer)
          {
              this->serve(peer);
          })
{
}

void fake_store::drop_answers(int count)
{
    const std::scoped_lock lock(this->mutex);
    this->answers_to_drop = count;
}

void fake_store::put(const std::string& key, const std::string& value)
{
    const std::scoped_lock lock(this->mutex);
    this->records[key] = value;
}

void fake_store::answer_reads()
{
    this->reads_answered = true;
}

void fake_store::set_writer_run(const std::string& writer, std::uint64_t run)
{
    const std::scoped_lock lock(this->mutex);
    this->writers[writer].run = run;
}

void fake_store::answer_joins(int count)
{
    const std::scoped_lock lock(this->mutex);
    this->joins_to_answer = count;
}

std::string fake_store::value_of(const std::string& key)
{
    const std::scoped_lock lock(this->mutex);
    return this->records[key];
}

std::vector<std::string> fake_store::history()
{
    const std::scoped_lock lock(this->mutex);
    return this->events;
}

void fake_store::serve(edge::tests::backend_peer& peer)
{
    while (true)
    {
        const std::string request = peer.read_request();
        if (request.empty())
            return;
        const std::string response = this->answer(request);
        if (response.empty())
        {
            peer.shut_down();
            return;
        }
        peer.send(response);
    }
}

std::string fake_store::answer(const std::string& request)
{
    if (request.starts_with("GET /log-read"))
    {
        ++this->reads_seen;
        return this->reads_answered ? http(200, empty_read_answer())
                                    : http(503, "");
    }
    const std::scoped_lock lock(this->mutex);
    if (request.starts_with("GET /log-newest"))
        return this->listing();
    if (request.starts_with("POST /log-append"))
    {
        const std::string response = this->append(request);
        const bool is_dropped = this->answers_to_drop > 0;
        this->answers_to_drop -= is_dropped ? 1 : 0;
        return is_dropped ? std::string() : response;
    }
    if (request.starts_with("POST /log-join"))
        return this->membership();
    return http(200, "{}");
}

std::string fake_store::append(const std::string& request)
{
    writer_state& writer = this->writers[parameter(request, "producer")];
    const std::uint64_t run = number_of(parameter(request, "epoch"));
    const std::uint64_t sequence = number_of(parameter(request, "seq"));
    if (run < writer.run)
    {
        this->events.emplace_back("fenced");
        return http(409, R"({"why":"fenced"})");
    }
    if (run > writer.run)
        writer = {run, sequence};
    if (sequence < writer.next)
    {
        this->events.emplace_back("repeat");
        return http(200, R"({"offset":0,"end":1})");
    }
    if (sequence > writer.next)
        return http(409, R"({"why":"seq"})");
    ++writer.next;
    const std::string frame = request.substr(request.find("\r\n\r\n") + 4);
    constexpr std::size_t length_bytes = 4;
    const auto key_size = static_cast<unsigned char>(frame[length_bytes]);
    const std::string key = frame.substr(length_bytes + 1, key_size);
    const std::string value = frame.substr(length_bytes + 1 + key_size);
    this->records[key] = value;
    this->events.push_back("append " + value);
    return http(200, R"({"offset":0,"end":1})");
}

std::string fake_store::listing()
{
    std::string items;
    for (const auto& [key, value] : this->records)
    {
        items += items.empty() ? "" : ",";
        items += R"({"key":")" + key + R"(","value":")" + base64(value) +
                 R"(","offset":0})";
    }
    return http(
        200, R"({"items":[)" + items + R"(],"end":1,"has_more":false})");
}

std::string fake_store::membership()
{
    if (this->joins_to_answer == 0)
        return http(503, "");
    --this->joins_to_answer;
    this->events.emplace_back("join");
    return http(200, R"({"generation":5,"parts":[["placement",0,0]]})");
}

} // namespace roseworks::users_platform::tests
