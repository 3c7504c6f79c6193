#include "bench/router/log_author.hpp"

#include "adapters/log/log_frames.hpp"
#include "tests/support/http_call.hpp"

#include <roseworks/codec.hpp>

#include <boost/json/value.hpp>

#include <chrono>

namespace roseworks::bench
{

namespace
{

constexpr std::size_t read_bytes = std::size_t(1) << 20;

stamp_ms wall_now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::uint64_t number_of(const boost::json::value& answer, const char* key)
{
    if (!answer.is_object())
        return 0;
    const auto* found = answer.as_object().if_contains(key);
    return found == nullptr ? 0 : found->to_number<std::uint64_t>();
}

} // namespace

log_author::log_author(std::string_view address, std::uint64_t author)
    : address(address)
    , author(author)
{
}

log_offset log_author::append(std::span<const record_payload> payloads)
{
    std::vector<std::vector<std::byte>> entries;
    for (const record_payload& payload : payloads)
    {
        record value;
        value.id = {author_id(this->author), 1, ++this->sequence};
        value.stamp = wall_now();
        value.payload = payload;
        entries.push_back(encode(value));
        this->appended_bytes += entries.back().size();
    }
    test::http_call call;
    call.method = "POST";
    call.target = "/v1/append";
    call.headers["Content-Type"] = "application/octet-stream";
    call.body = log_client::encode_append(entries);
    const auto answer = test::send(this->address, call).json();
    return log_offset(number_of(answer, "first_offset"));
}

log_offset log_author::append(record_payload payload)
{
    return this->append(std::span(&payload, 1));
}

fleet_state log_author::read_state() const
{
    fleet_state state;
    const log_offset end = this->next_offset();
    log_offset from(1);
    while (from < end)
    {
        test::http_call call;
        call.target = "/v1/read?from=" + std::to_string(from.value) +
                      "&max_bytes=" + std::to_string(read_bytes) + "&wait_ms=0";
        const auto reply = test::send(this->address, call);
        const auto entries = log_client::parse_log_frames(reply.body, from);
        if (!entries || entries->empty())
            break;
        for (const log_entry& entry : *entries)
        {
            if (const auto value = decode(entry.bytes))
                state.apply(entry.offset, *value);
            from = log_offset(entry.offset.value + 1);
        }
    }
    return state;
}

log_offset log_author::next_offset() const
{
    return log_offset(
        number_of(test::get_json(this->address, "/v1/status"), "next_offset"));
}

std::uint64_t log_author::bytes() const
{
    return this->appended_bytes;
}

std::uint64_t log_author::records() const
{
    return this->sequence;
}

} // namespace roseworks::bench
