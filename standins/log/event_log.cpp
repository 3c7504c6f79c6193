#include "standins/log/event_log.hpp"

#include "standins/common/json_fields.hpp"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <utility>

namespace roseworks::standins
{

namespace
{

constexpr std::size_t length_bytes = sizeof(std::uint32_t);
constexpr std::size_t header_bytes = sizeof(std::uint64_t) + length_bytes;

std::string encode_header(std::uint64_t offset, std::uint32_t length)
{
    unsigned char bytes[header_bytes];
    boost::endian::store_little_u64(bytes, offset);
    boost::endian::store_little_u32(bytes + sizeof(offset), length);
    return {std::begin(bytes), std::end(bytes)};
}

std::uint32_t decode_length(std::string_view bytes)
{
    return boost::endian::load_little_u32(
        reinterpret_cast<const unsigned char*>(bytes.data()));
}

} // namespace

event_log::event_log(std::size_t limit)
    : retain(limit)
{
}

std::uint64_t event_log::append(std::vector<std::string> added)
{
    const std::uint64_t offset = this->next_offset();
    for (std::string& record : added)
    {
        this->records.push_back(std::move(record));
    }
    if (this->retain != 0 && this->records.size() > this->retain)
    {
        this->trim(this->next_offset() - this->retain);
    }
    return offset;
}

void event_log::trim(std::uint64_t offset)
{
    const std::uint64_t end = std::min(offset, this->next_offset());
    while (this->first < end)
    {
        this->records.pop_front();
        ++this->first;
    }
}

std::string event_log::read(std::uint64_t from, std::size_t max_bytes) const
{
    std::string bytes;
    for (std::uint64_t offset = from; offset < this->next_offset(); ++offset)
    {
        const std::string& record = this->records[offset - this->first];
        const std::size_t size = header_bytes + record.size();
        if (!bytes.empty() && bytes.size() + size > max_bytes)
        {
            break;
        }
        bytes +=
            encode_header(offset, static_cast<std::uint32_t>(record.size()));
        bytes += record;
    }
    return bytes;
}

std::uint64_t event_log::first_offset() const
{
    return this->first;
}

std::uint64_t event_log::next_offset() const
{
    return this->first + this->records.size();
}

std::vector<std::string> split_entries(std::string_view body)
{
    std::vector<std::string> entries;
    while (!body.empty())
    {
        if (body.size() < length_bytes)
        {
            throw bad_request("an entry's length is cut short");
        }
        const std::size_t length = decode_length(body);
        body.remove_prefix(length_bytes);
        if (body.size() < length)
        {
            throw bad_request("an entry is cut short");
        }
        entries.emplace_back(body.substr(0, length));
        body.remove_prefix(length);
    }
    return entries;
}

} // namespace roseworks::standins
