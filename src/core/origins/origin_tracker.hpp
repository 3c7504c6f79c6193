#pragma once

#include "core/origins/origin_message.hpp"
#include "core/origins/origin_store.hpp"
#include "core/origins/software_history.hpp"
#include "core/origins/stream_origin.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace roseworks
{

/** What one router knows of the software that began each stream, and what it
    tells and asks the others.

    A stream may go on only at the software that began it, and its caller may
    take it up at any router. So a router sends the origin of each stream to
    several others, its holders, which follow from the stream's key by
   rendezvous hashing. A router that doesn't know a stream asks the holders.

    Without a record, the origin is known if the only service in question had a
    single version for longer than any stream lives. A router concludes that
    from what it has seen itself and from what others answer. It does so alone
    only while its registry is recent; otherwise routers that answer have to
    agree. In all other cases the origin is unknown.

    A router that has just started asks others for the records that it holds
    for them, and for what they have seen. If none of them has seen enough, all
    have just started: then some routers read what the registry still has of
    the past, and the others learn it from these.

    Not thread-safe. Deterministic for a seed. */
class origin_tracker
{
public:
    struct options
    {
        std::string router; ///< name
        /// Routers besides the first that know each stream. With 60 % of the
        /// routers lost at once, 97 % of the streams are still known.
        std::size_t holders = 7;
        /// Records are sent together after this delay.
        duration batch_delay = std::chrono::milliseconds(5);
        /// A query is repeated after this time, since datagrams may be lost.
        duration repeat_delay = std::chrono::milliseconds(20);
        /// A query ends without the missing answers after this time.
        duration query_timeout = std::chrono::milliseconds(60);
        /// The same while a started router learns what the others have seen.
        duration start_query_timeout = std::chrono::milliseconds(700);
        /// A registry of at most this age shows all versions in service.
        duration max_registry_age = std::chrono::milliseconds(1000);
        /// Routers that are asked after the start, and how often.
        std::size_t start_queries = 3;
        int start_rounds = 3;
        duration start_interval = std::chrono::milliseconds(150);
        /// While nobody has seen enough, a started router goes on to ask for
        /// what the others have seen.
        int history_rounds = 12;
        /// The first routers by name read the past of the registry this long
        /// after they know the others, the next ones one after the other.
        duration log_read_delay = std::chrono::milliseconds(100);
        duration log_read_interval = std::chrono::milliseconds(150);
        std::size_t max_log_rank = 6;
        /// The whole deployment starts for the first time, so there are no
        /// earlier streams.
        bool first_start = false;
        std::uint64_t seed = 1;
    };

    /// A router of the deployment.
    struct router
    {
        std::string name;
        std::string address;

        bool operator==(const router&) const = default;
    };

    struct outgoing_message
    {
        std::vector<std::string> recipients; ///< addresses
        origin_message content;
    };

    /// Asks for the origin of a stream that a caller takes up.
    struct question
    {
        std::uint64_t id = 0; ///< chosen by the asker
        stream_key stream;    ///< 0: the caller names none
        /// Services that may have begun it.
        std::vector<service_key> services;
    };

    struct answer
    {
        std::uint64_t question = 0;
        stream_origin origin;
    };

    origin_tracker(options settings, instant now);

    /// @param all Of the deployment; this one may be among them.
    void set_routers(std::vector<router> all, instant now);

    /// Sets how long after its begin a stream may be taken up. A shorter time
    /// than before has no effect.
    void set_stream_lifetime(duration lifetime);

    /// The servers that the registry lists now.
    void servers_listed(std::span<const listed_software> servers, instant now);

    /// The first event of a stream is sent to its caller.
    void began(stream_key stream, software_version software, instant now);

    /// @param registry_age Age of this router's registry; empty: not known.
    void
    ask(const question& asked,
        std::optional<duration> registry_age,
        instant now);

    /// @param from         Address of the sender.
    /// @param registry_age Of this router.
    void message_received(
        const origin_message& message,
        std::string_view from,
        std::optional<duration> registry_age,
        instant now);

    void tick(std::optional<duration> registry_age, instant now);

    /// @return When `tick` has work next.
    instant next_tick() const;

    std::vector<outgoing_message> take_messages()
    {
        return std::exchange(this->messages, {});
    }

    std::vector<answer> take_answers()
    {
        return std::exchange(this->answers, {});
    }

    /// @return Whether the past of the registry has to be read.
    bool take_log_wanted()
    {
        return std::exchange(this->is_log_wanted, false);
    }

    /// Adds what servers of the past had.
    /// @param since From when on nothing is missing.
    void add_past(
        std::span<const listed_software> servers, instant since, instant now);

    std::size_t record_count() const
    {
        return this->records.size();
    }

private:
    /// A question that other routers are asked.
    struct pending_query
    {
        question asked;
        /// Addresses of the routers that haven't answered.
        std::vector<std::string> missing;
        std::size_t recipients = 0;
        std::vector<origin_message> received;
        instant repeat_at;
        instant ends_at;
    };

    std::vector<std::string> holders_of(stream_key stream) const;
    bool holds(std::string_view router, stream_key stream) const;
    /// Those that were asked may all have ended.
    void ask_more_routers(pending_query& query);
    void send_query(std::uint64_t number, const pending_query& query);
    void send_answer(
        const origin_message& asked, std::string_view from, instant now);
    void send_records_to(
        const origin_message& start, std::string_view to, instant now);
    void handle_answer(
        const origin_message& message,
        std::string_view from,
        std::optional<duration> registry_age,
        instant now);
    void apply_records(const origin_message& message, instant now);
    /// @return The software of the question's only service, if it is certain.
    std::optional<software_version> conclude(
        const pending_query& query,
        std::optional<duration> registry_age,
        instant now) const;
    void finish(const question& asked, stream_origin origin);
    /// Answers a question for whose stream no record was found.
    void finish_without_record(
        const pending_query& query,
        std::optional<duration> registry_age,
        instant now);
    void flush_records(instant now);
    void send_start_queries(instant now);
    /// @return Whether this router has seen all for as long as a stream lives.
    bool has_seen_enough(instant now) const;
    /// @return Whether this router has just started and may soon know more.
    bool is_learning(instant now) const;
    std::vector<std::string> random_routers(std::size_t count);
    origin_message make_message(origin_message_kind kind, instant now) const;

    options settings;
    origin_store records;
    software_history history;
    std::mt19937_64 random;
    std::vector<router> others;
    duration stream_lifetime = std::chrono::seconds(10);
    std::optional<duration> last_registry_age;
    /// Streams to be sent, by the address of the holder.
    std::map<std::string, std::vector<stream_key>> unsent;
    instant unsent_since = instant::max();
    std::map<std::uint64_t, pending_query> queries; ///< by number
    std::uint64_t last_number = 0;
    int start_rounds = 0; ///< so far
    instant next_start_query = instant::max();
    instant log_read_at = instant::max();
    bool is_log_wanted = false;
    instant next_cleaning;
    std::vector<outgoing_message> messages;
    std::vector<answer> answers;
};

} // namespace roseworks
