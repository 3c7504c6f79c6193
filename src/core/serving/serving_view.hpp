#pragma once

#include "core/crashes/server_life.hpp"
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
#include <unordered_set>
#include <vector>

namespace roseworks
{

/** A router's view of the deployment: the newest configuration, the registered
    backend servers, and the models on each engine as reported by the placement
    owner.

    Versions of the configuration only increase. A server that leaves or is gone
    gets no new requests from then on, with one exception: entries that expire
    just after a registry outage are kept until the servers had time to register
    again. The configuration is authoritative; all other data is advisory.
*/
class serving_view
{
public:
    struct options
    {
        /// Time for servers to register again after a registry outage.
        duration reregistration_period = std::chrono::milliseconds(2200);
        /// How long the owner's report on an engine is used. Afterwards the
        /// engine's own entry is newer.
        duration residency_lifetime = std::chrono::seconds(4);
        /// How long an expected load time is used. The owner sends it four
        /// times per second.
        duration expected_load_lifetime = std::chrono::seconds(1);
        /// Smaller shifts of an expected load time are ignored.
        duration expected_load_step = std::chrono::milliseconds(200);
        /// How long a refusal is remembered when the owner has just reported
        /// the model: the load is about to finish.
        duration refusal_lifetime = std::chrono::milliseconds(150);
        /// Age up to which an owner's report counts as recent.
        duration recent_report_age = std::chrono::milliseconds(1000);
        /// How long a refusal is remembered when the older data was wrong
        /// because the model was unloaded. Newer data ends it earlier.
        /// Meanwhile the request waits for the owner instead of using up its
        /// attempts at the same engine.
        duration stale_refusal_lifetime = std::chrono::milliseconds(1000);
        /// Back-off for an engine to which no connection could be opened. It
        /// doubles with each failure up to the maximum. The registry lists an
        /// engine for some seconds after it is gone, and each attempt costs a
        /// request the connect timeout.
        duration min_backoff = std::chrono::milliseconds(500);
        duration max_backoff = std::chrono::seconds(4);
        /// The back-off starts again after this time without a failure.
        duration backoff_reset_time = std::chrono::seconds(8);
    };

    /// One run of a backend server.
    struct server
    {
        server_entry entry;
        bool registered_leaving = false; ///< in the registry entry as read
        engine_id engine;                ///< the same for all runs with one id
        replica_id run;                  ///< differs for each run
        software_version software;
        /// Time at which it is removed unless it registers again.
        std::optional<instant> expires_at;
        /// Another server runs at this address now. A crashed server stays in
        /// the registry for seconds, and its successor may register meanwhile.
        bool superseded = false;
        std::optional<engine_residency> owner_report;
        instant owner_report_seen;       ///< last time it was received
        instant owner_report_first_seen; ///< first time it was received
        /// Servables that it refused, with the time until which that counts.
        std::map<std::string, instant, std::less<>> refusals;
        duration last_backoff{};              ///< last back-off; 0: none
        std::optional<instant> backoff_until; ///< end of the current back-off
        instant last_connect_failure;
    };

    explicit serving_view(options settings);

    /// @return Whether the version is newer and was adopted.
    bool deployment_read(std::shared_ptr<const deployment> next);

    /// @return Whether anything relevant to routing changed.
    bool entry_read(server_entry entry);
    bool entry_removed(std::string_view id, instant now);

    /// Processes a complete registry listing. Servers missing from it are gone.
    bool entries_listed(std::vector<server_entry> all, instant now);

    /// The registry is available again after an outage.
    /// @param outage_end When the outage ended.
    void registry_back(instant outage_end);

    /// There was no outage of the registry: entries that were kept because of
    /// one are removed.
    /// @return Whether anything relevant to routing changed.
    bool registry_was_not_out();

    /// Processes the placement owner's report on an engine.
    /// @return Whether anything relevant to routing changed.
    bool update_residency(engine_residency report, instant now);

    /// Processes the expected load time of a model that no engine has, sent by
    /// the placement owner.
    /// @return Whether the time was new or changed noticeably.
    bool
    update_expected_load(const std::string& model, instant ready, instant now);

    /** Records that an engine refused a request because it lacks the model or
        adapter.

        The engine gets no requests for this servable until newer data arrives
        or the refusal expires. Otherwise a retry would go to the same engine.

        @param servable Key of the model or adapter.
        @return         Whether the engine is known.
    */
    bool mark_refused(
        std::string_view engine, std::string_view servable, instant now);

    /** Records that no connection to a server could be opened.

        @return End of the engine's back-off; empty for plain servers, and when
                a back-off is already in effect.
    */
    std::optional<instant>
    mark_unreachable(std::string_view server, instant now);

    /// Sets whether a server leaves, whatever its registry entry says. Holds
    /// for this life of it only.
    /// @return Whether anything relevant to routing changed.
    bool set_leaving(server_life life, bool leaving);

    /// @return Whether servers, reports, refusals or back-offs expired.
    bool tick(instant now);

    /// @return The newest configuration; null before the first.
    const std::shared_ptr<const deployment>& config() const
    {
        return this->configuration;
    }

    /// @return The models on the engine, by the most reliable data available.
    const std::vector<resident_model>&
    resident(const server& record, instant now) const;

    /// @return Whether the server is a model engine.
    bool is_engine(const server& record) const;

    const std::map<std::string, server, std::less<>>& servers() const
    {
        return this->servers_by_id;
    }

    /// @return Null before the first configuration.
    serving_table_ptr make_table(bool placement_available, instant now) const;

private:
    void build_catalogue();
    /// Adds a server to the index by address, or removes it.
    void add_to_address(const server& record);
    /// Removes the entries that did not register again in time.
    bool remove_expired(instant now);
    void remove_from_address(std::string_view id, const std::string& address);
    void update_superseded(const std::string& address);
    void add_engine(
        serving_table::parts& into, const server& record, instant now) const;
    void add_servable(
        serving_table::parts& into,
        const server& record,
        std::string_view servable) const;
    void add_plain(serving_table::parts& into, const server& record) const;

    options settings;
    std::shared_ptr<const deployment> configuration;
    std::shared_ptr<const servable_catalogue> catalogue;
    std::map<std::string, server, std::less<>> servers_by_id;
    /// Ids of the known servers by address. Of thousands of servers, only one
    /// or two share an address.
    std::unordered_map<std::string, std::set<std::string, std::less<>>>
        ids_by_address;
    std::unordered_map<std::string, engine_id> engine_ids;
    std::unordered_map<std::string, servable_id> servable_ids;
    /// Servers that leave, although their entries may not say so.
    std::unordered_set<server_life> leaving_lives;
    std::uint64_t last_run = 0;
    instant reregistration_deadline = instant::min();

    struct expected_load
    {
        instant ready;
        instant received_at;
    };

    /// By model key.
    std::unordered_map<std::string, expected_load> expected_loads;
};

} // namespace roseworks
