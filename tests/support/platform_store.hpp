#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace roseworks::test
{

/** A stand-in for the platform's store, by its published calls: keyed topics of
    one partition, held reads, and one group whose first member keeps the
    partition.

    Answers at several addresses, so that a test can turn away those who call at
    one of them.
*/
class platform_store
{
public:
    /// @param doors How many addresses it answers at.
    explicit platform_store(std::size_t doors);
    ~platform_store();
    platform_store(platform_store&&) = delete;
    platform_store& operator=(platform_store&&) = delete;

    /// @return ip:port of a door.
    std::string address(std::size_t door) const;

    /// From now on every call at this door is answered 503.
    void turn_away(std::size_t door);

    /// Appends a record under a key.
    void write(
        const std::string& topic,
        const std::string& key,
        const std::string& value);

    /// @return How many keys of a topic have a record.
    std::size_t keys(const std::string& topic);

    /// @return Listings of a topic from its first key on that were begun.
    int listings(const std::string& topic);

    /// @return Answers that contained at least one record of a topic.
    int answers_with_records(const std::string& topic);

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    struct door
    {
        explicit door(boost::asio::io_context& context);

        boost::asio::ip::tcp::acceptor acceptor;
        bool is_open = true;
    };

    using topic = std::vector<record>;

    void accept(std::size_t number);
    void serve(boost::asio::ip::tcp::socket& socket, std::size_t number);
    std::string answer(const std::string& head, const std::string& body);
    std::string list(const std::string& target);
    std::string read(const std::string& target);
    std::string append(const std::string& target, const std::string& body);
    std::string join(const std::string& body);

    boost::asio::io_context context;
    std::mutex mutex;
    std::condition_variable written;
    std::vector<std::unique_ptr<door>> doors;
    std::map<std::string, topic> topics;
    std::map<std::string, int> listings_begun;
    std::map<std::string, int> answers_by_topic; ///< those with records
    std::string owner; ///< of the group's one partition
    bool closing = false;
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> sockets;
    std::vector<std::thread> threads;
};

} // namespace roseworks::test
