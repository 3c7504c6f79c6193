#include "review/standins/group_store.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdlib>

namespace review
{

namespace json = boost::json;

namespace
{

std::string parameter(const std::string& target, const std::string& name)
{
    for (const char before : {'?', '&'})
    {
        const auto start = target.find(before + name + "=");
        if (start == std::string::npos)
            continue;
        const auto from = start + name.size() + 2;
        return target.substr(from, target.find('&', from) - from);
    }
    return {};
}

std::string big_endian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text += static_cast<char>(value >> (8 * i) & 0xFF);
    return text;
}

std::string base64(const std::string& text)
{
    namespace coder = boost::beast::detail::base64;
    std::string result(coder::encoded_size(text.size()), '\0');
    result.resize(coder::encode(result.data(), text.data(), text.size()));
    return result;
}

} // namespace

group_store::group_store(record& chosen)
    : log(chosen)
    , listener(
          [this](connection& caller, const message& request)
          {
              return this->answer(caller, request);
          })
{
}

std::string group_store::address() const
{
    return this->listener.address();
}

void group_store::write(
    const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(this->mutex);
    this->topics[topic].push_back({key, value});
    this->written.notify_all();
}

std::string group_store::holder()
{
    const std::lock_guard lock(this->mutex);
    return this->holding;
}

bool group_store::answer(connection& caller, const message& request)
{
    const auto start = request.first_line.find(' ') + 1;
    const std::string target = request.first_line.substr(
        start, request.first_line.find(' ', start) - start);
    return caller.send(this->reply(target, request.body));
}

std::string
group_store::reply(const std::string& target, const std::string& body)
{
    if (target.starts_with("/log-newest"))
        return this->list(target);
    if (target.starts_with("/log-read"))
        return this->read(target);
    if (target.starts_with("/log-append"))
        return this->append(target, body);
    if (target.starts_with("/log-join"))
        return this->join(body);
    if (target.starts_with("/log-leave"))
        return this->leave(body);
    return response("404 Not Found", "", "{}");
}

std::string group_store::list(const std::string& target)
{
    const std::lock_guard lock(this->mutex);
    const auto& records = this->topics[parameter(target, "topic")];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i)
        newest[records[i].key] = i;
    json::array items;
    for (const auto& [key, offset] : newest)
        items.push_back(json::object{
            {"key", key},
            {"value", base64(records[offset].value)},
            {"offset", offset}});
    const json::object page{
        {"items", items}, {"end", records.size()}, {"has_more", false}};
    return response("200 OK", "", json::serialize(page));
}

std::string group_store::read(const std::string& target)
{
    std::unique_lock lock(this->mutex);
    const std::string topic = parameter(target, "topic");
    const std::size_t from =
        std::strtoul(parameter(target, "from").c_str(), nullptr, 10);
    const std::chrono::milliseconds wait(
        std::strtoul(parameter(target, "wait_ms").c_str(), nullptr, 10));
    this->written.wait_for(
        lock,
        wait,
        [&]
        {
            return this->topics[topic].size() > from;
        });
    const auto& records = this->topics[topic];
    std::string page = big_endian(records.size(), 8) + big_endian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i)
        page +=
            big_endian(1 + records[i].key.size() + records[i].value.size(), 4) +
            static_cast<char>(records[i].key.size()) + records[i].key +
            records[i].value;
    return response("200 OK", "", page);
}

std::string
group_store::append(const std::string& target, const std::string& body)
{
    constexpr std::size_t length_bytes = 4;
    const auto key_size = static_cast<unsigned char>(body.at(length_bytes));
    this->write(
        parameter(target, "topic"),
        body.substr(length_bytes + 1, key_size),
        body.substr(length_bytes + 1 + key_size));
    return response("200 OK", "", R"({"offset":0,"end":1})");
}

void group_store::remove(const std::string& name)
{
    if (this->members.erase(name) == 0)
        return;
    ++this->generation;
    if (this->holding == name)
        this->holding.clear();
}

void group_store::expire()
{
    std::vector<std::string> silent;
    for (const auto& [name, one] : this->members)
    {
        if (one.until <= steady::now())
            silent.push_back(name);
    }
    for (const std::string& name : silent)
        this->remove(name);
}

std::string group_store::join(const std::string& body)
{
    const std::lock_guard lock(this->mutex);
    const json::object asked = json::parse(body).as_object();
    const std::string name(asked.at("member").as_string());
    this->topic_of_group = asked.at("topics").as_array().at(0).as_string();
    this->expire();
    if (!this->members.contains(name))
        ++this->generation;
    this->members[name].until =
        steady::now() +
        std::chrono::milliseconds(asked.at("ttl_ms").as_int64());
    if (this->holding.empty())
    {
        ++this->generation;
        this->holding = name;
        this->log.line(
            "store: the partition goes to " + name + ", generation " +
            std::to_string(this->generation));
    }
    json::array parts;
    if (this->holding == name)
        parts.push_back(json::array{this->topic_of_group, 0, 0});
    const json::object told{{"generation", this->generation}, {"parts", parts}};
    return response("200 OK", "", json::serialize(told));
}

std::string group_store::leave(const std::string& body)
{
    const std::lock_guard lock(this->mutex);
    const std::string name(
        json::parse(body).as_object().at("member").as_string());
    this->remove(name);
    this->log.line("store: " + name + " leaves the group");
    return response("200 OK", "", "{}");
}

} // namespace review
