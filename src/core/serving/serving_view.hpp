#pragma once

#include "core/serving/deployment.hpp"
#include "core/serving/engine_residency.hpp"
#include "core/serving/server_entry.hpp"
#include "core/serving/serving_table.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks
{

/** What a router believes of the deployment: the newest configuration, the
    backend servers as they registered, and what the placement owner says that
    each engine holds.

    Versions of the configuration only rise. A server that leaves or is gone
    gets nothing new at once, with one exception: entries that lapse just after
    the registry was away are kept until the servers had time to register
    anew. All of it is a hint but the configuration, which the store decides.
*/
class serving_view
{
public:
    struct options
    {
        /// For servers to register again after the registry was away.
        duration revival = std::chrono::milliseconds(2200);
        /// The owner's word on an engine counts for so long; after it the
        /// engine's own entry does, which then is newer.
        duration residency_lifetime = std::chrono::seconds(4);
        /// What the owner expects counts for so long: it tells it four times a
        /// second.
        duration outlook_lifetime = std::chrono::seconds(1);
        /// A shift of it by less changes nothing.
        duration outlook_step = std::chrono::milliseconds(200);
        /// A refusal counts for so long where the owner told of the model just
        /// now: a load that is about to end.
        duration refusal_lifetime = std::chrono::milliseconds(150);
        /// The owner's word is that new for so long.
        duration new_word = std::chrono::milliseconds(1000);
        /// A refusal counts for so long, or until there is newer word, where
        /// older knowledge was wrong: the model was unloaded. The request waits
        /// for the owner meanwhile, in place of using its sendings up at the
        /// same engine.
        duration outdated_refusal_lifetime = std::chrono::milliseconds(1000);
        /// An engine to which no connection could be opened gets nothing for
        /// so long, and each time again for twice as long up to the longest:
        /// the registry lists one that is gone for some seconds more, and each
        /// try costs a request the time that a connection may take.
        duration first_unreached = std::chrono::milliseconds(500);
        duration longest_unreached = std::chrono::seconds(4);
        /// Reachable for so long, it starts anew.
        duration unreached_memory = std::chrono::seconds(8);
    };

    /// One run of a backend server.
    struct server
    {
        server_entry entry;
        engine_id engine;              ///< the same for all runs under one id
        replica_id run;                ///< another one for each run
        std::optional<instant> lapses; ///< gone unless it registers before
        /// Another server runs at its address now: one that crashed stays in
        /// the registry for seconds, and its next run may be there by then.
        bool superseded = false;
        std::optional<engine_residency> owned;
        instant owned_at;    ///< when the owner last said so
        instant owned_since; ///< when the owner said so first
        /// Keys of what it refused, until when they count.
        std::map<std::string, instant, std::less<>> refused;
        duration unreached_for{};               ///< the last such time; 0: none
        std::optional<instant> unreached_until; ///< it gets nothing till then
        instant last_unreached;
    };

    explicit serving_view(options settings);

    /// @return Whether the version is newer and is in force now.
    bool deployment_read(std::shared_ptr<const deployment> next);

    /// @return Whether anything that matters to routing changed.
    bool entry_read(server_entry entry);
    bool entry_removed(std::string_view id, instant now);

    /// The whole registry was read: servers that aren't in it are gone.
    bool entries_listed(std::vector<server_entry> all, instant now);

    /// The registry answers again after it was away.
    void registry_back(instant now);

    /// The placement owner told what an engine holds.
    /// @return Whether that is news.
    bool residency_heard(engine_residency told, instant now);

    /// The placement owner told when a model that no engine has can be there.
    /// @return Whether that is news.
    bool outlook_heard(const std::string& model, instant ready, instant now);

    /** An engine refused a request for want of its model or adapter.

        It isn't sent there for it until there is newer word of the engine, or
        some time has passed: else a retry would go to the same engine.

        @param servable Its key.
        @return         Whether it was thought to be there.
    */
    bool contradicted(
        std::string_view engine, std::string_view servable, instant now);

    /** No connection to a server could be opened.

        @return Until when the engine gets nothing; empty for other servers,
                and when that was known.
    */
    std::optional<instant> unreached(std::string_view server, instant now);

    /// @return Whether servers lapsed, or word of the owner grew old.
    bool tick(instant now);

    /// @return The newest configuration, null before the first.
    const std::shared_ptr<const deployment>& config() const
    {
        return this->current;
    }

    /// @return What the engine holds, by the best word there is.
    const std::vector<resident_model>&
    resident(const server& one, instant now) const;

    /// @return Whether its service's requests need a model.
    bool is_engine(const server& one) const;

    const std::map<std::string, server, std::less<>>& servers() const
    {
        return this->known;
    }

    /// @return Null before the first configuration.
    serving_table_ptr make_table(
        bool orders_possible,
        const std::unordered_set<fingerprint>& blocked,
        instant now) const;

private:
    void make_catalogue();
    /// A server came to an address, or left it.
    void settle(const server& arrived);
    void settle_without(std::string_view id, const std::string& address);
    void find_superseded(const std::string& address);
    void add_engine(
        serving_table::parts& into, const server& one, instant now) const;
    void add_servable(
        serving_table::parts& into,
        const server& one,
        std::string_view servable) const;
    void add_plain(serving_table::parts& into, const server& one) const;

    options settings;
    std::shared_ptr<const deployment> current;
    std::shared_ptr<const servable_catalogue> catalogue;
    std::map<std::string, server, std::less<>> known; ///< by id
    /// Ids of the known servers by their addresses: of thousands, one or two
    /// share one.
    std::unordered_map<std::string, std::set<std::string, std::less<>>> at;
    std::unordered_map<std::string, engine_id> numbers;
    std::unordered_map<std::string, servable_id> servable_numbers;
    std::uint64_t last_run = 0;
    instant revival_until = instant::min();

    struct outlook
    {
        instant ready;
        instant heard;
    };

    std::unordered_map<std::string, outlook> outlooks; ///< by model's key
};

} // namespace roseworks
