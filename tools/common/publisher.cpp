#include "tools/common/publisher.hpp"

#include <roseworks/codec.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <xxhash.h>

#include <random>
#include <string>
#include <thread>

namespace roseworks::tools
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds read_wait{200};
constexpr milliseconds retry_pause{100};

} // namespace

publisher::publisher(log_client& to, log_history& kept, milliseconds allowed)
    : client(to)
    , history(kept)
    , limit(allowed)
{
}

boost::leaf::result<publication> publisher::publish(const record& value)
{
    const std::vector<std::byte> bytes = encode(value);
    const auto deadline = steady_clock::now() + this->limit;
    bool appended = false;
    bool sent = false;
    do
    {
        if (!appended)
        {
            appended = this->append(bytes);
            sent = sent || appended ||
                   this->last_error.what == log_error::kind::answer_lost;
        }
        const bool read = this->read_on();
        const history_entry* entry = this->history.find(value.id);
        if (entry != nullptr)
        {
            return publication{
                entry->offset, entry->result.value_or(fold_result{})};
        }
        if (!appended || !read)
        {
            std::this_thread::sleep_for(retry_pause);
        }
    } while (steady_clock::now() < deadline);
    log_error error = this->last_error;
    error.what =
        sent ? log_error::kind::answer_lost : log_error::kind::unavailable;
    return boost::leaf::new_error(std::move(error));
}

bool publisher::append(std::span<const std::byte> bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool>
        {
            BOOST_LEAF_CHECK(this->client.append(bytes));
            return true;
        },
        [this](log_error& error)
        {
            this->last_error = std::move(error);
            return false;
        },
        []
        {
            return false;
        });
}

bool publisher::read_on()
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool>
        {
            BOOST_LEAF_CHECK(this->history.read_on(read_wait));
            return true;
        },
        [this](log_error& error)
        {
            this->last_error = std::move(error);
            return false;
        },
        []
        {
            return false;
        });
}

record make_record(std::string_view author, record_payload payload)
{
    using std::chrono::duration_cast;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    // Two runs under one operator's name must not share an id.
    std::random_device entropy;
    const std::string unique = "operator:" + std::string(author) + ':' +
                               std::to_string(entropy()) +
                               std::to_string(entropy());
    record value;
    value.id.author = author_id(XXH3_64bits(unique.data(), unique.size()));
    value.id.incarnation = static_cast<std::uint64_t>(
        duration_cast<std::chrono::microseconds>(now).count());
    value.id.sequence = 1;
    value.stamp = duration_cast<milliseconds>(now).count();
    value.payload = std::move(payload);
    return value;
}

} // namespace roseworks::tools
