#include "core/placement/activity.hpp"
#include "core/placement/break_even.hpp"
#include "core/placement/gap_cost.hpp"
#include "core/state/closed_claims.hpp"

#include <roseworks/codec.hpp>
#include <roseworks/fleet_state.hpp>
#include <roseworks/record.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <malloc.h>
#include <string>
#include <utility>
#include <vector>

/// Measures the fold at the two-year size: 180 models, 87,000 adapters, 600
/// engines with a replica each and 400 sessions.
namespace
{

using namespace roseworks;

constexpr std::uint32_t models = 180;
constexpr std::uint32_t adapters = 87'000;
constexpr std::uint32_t engines = 600;
constexpr std::uint32_t routers = 400;
constexpr std::uint32_t rounds = 40'000;
constexpr stamp_ms first_stamp = 1'700'000'000'000;

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(
               std::chrono::steady_clock::now() - start)
        .count();
}

/// @return Bytes that the allocator has handed out.
std::size_t heap_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void print(const char* name, double value, const char* unit)
{
    std::printf("%s=%.1f %s\n", name, value, unit);
}

/// A log that is folded as it is written.
class fold_run
{
public:
    fold_result put(record_payload payload, std::uint64_t author)
    {
        const record value = this->next(std::move(payload), author);
        fold_result result = this->state.apply(this->at, value);
        if (result.status != fold_status::accepted)
        {
            std::printf("rejected: %s\n", result.detail.c_str());
            ++this->rejected;
        }
        return result;
    }

    record next(record_payload payload, std::uint64_t author)
    {
        record value;
        value.id = {author_id(author), 1, ++this->sequence};
        value.stamp =
            first_stamp + static_cast<stamp_ms>(this->sequence) + this->elapsed;
        value.payload = std::move(payload);
        ++this->at.value;
        return value;
    }

    fleet_state state;
    log_offset at;
    std::uint64_t sequence = 0;
    std::uint64_t rejected = 0;
    stamp_ms elapsed = 0; ///< beside a millisecond a record
};

entity_change change_of(entity_kind kind, std::string name, entity_spec spec)
{
    entity_change change;
    change.kind = kind;
    change.name = std::move(name);
    change.spec = std::move(spec);
    return change;
}

/// Put entities in changes of 200, and print the heap bytes that each took.
template <class Make>
void put_entities(
    fold_run& run, const char* name, std::uint32_t count, Make&& make)
{
    constexpr std::uint32_t batch = 200;
    const std::size_t before = heap_bytes();
    for (std::uint32_t i = 0; i < count;)
    {
        config_change change;
        change.author = "bench";
        for (std::uint32_t k = 0; k < batch && i < count; ++k, ++i)
            change.changes.push_back(make(i));
        run.put(std::move(change), 1);
    }
    print(name, double(heap_bytes() - before) / count, "bytes");
}

void put_fleet(fold_run& run)
{
    put_entities(
        run,
        "bytes_per_model",
        models,
        [](std::uint32_t i)
        {
            model_spec spec;
            spec.memory_mib = 20'000;
            spec.max_replicas = 8;
            return change_of(
                entity_kind::model, "agri-model-" + std::to_string(i), spec);
        });
    put_entities(
        run,
        "bytes_per_adapter",
        adapters,
        [](std::uint32_t i)
        {
            adapter_spec spec;
            spec.base = "agri-model-" + std::to_string(i % models);
            spec.version = std::to_string(i % 50);
            spec.memory_mib = 200;
            return change_of(
                entity_kind::adapter,
                "shop-planogram-" + std::to_string(i),
                spec);
        });
    put_entities(
        run,
        "bytes_per_engine",
        engines,
        [](std::uint32_t i)
        {
            engine_spec spec;
            spec.address = "10.0." + std::to_string(i / 250) + "." +
                           std::to_string(i % 250) + ":7000";
            spec.vm = "colombo-a-backend-" + std::to_string(i);
            spec.data_centre = "colombo-a";
            spec.memory_mib = 81'920;
            return change_of(
                entity_kind::engine, "colombo-a-e" + std::to_string(i), spec);
        });
}

std::vector<session_id> join_all(fold_run& run)
{
    std::vector<session_id> sessions;
    const std::size_t before = heap_bytes();
    for (std::uint32_t i = 0; i < routers; ++i)
    {
        run.put(
            router_join{
                "colombo-a-router-" + std::to_string(i),
                "colombo-a",
                "10.1.0.1:7001",
                "10.1.0.1:8080"},
            100 + i);
        sessions.emplace_back(run.at.value);
    }
    print("bytes_per_router", double(heap_bytes() - before) / routers, "bytes");
    return sessions;
}

/// One replica of a model on each engine, ready.
void load_all(fold_run& run, const std::vector<session_id>& sessions)
{
    const std::size_t before = heap_bytes();
    for (std::uint32_t i = 0; i < engines; ++i)
    {
        const engine_id engine(i + 1);
        const servable_id servable(i % models + 1);
        const std::uint32_t router = i % routers;
        const session_id session = sessions[router];
        run.put(lease_acquire{engine, session, {}, {}}, 100 + router);
        const fence held(run.at.value);
        run.put(
            replica_decide{
                servable,
                run.state.servable(servable)->current,
                engine,
                run.state.engine(engine)->current,
                {},
                session,
                priority::normal},
            100 + router);
        const replica_id replica(run.at.value);
        run.put(
            replica_report{replica, replica_state::ready, held, session, {}},
            100 + router);
    }
    print(
        "bytes_per_replica", double(heap_bytes() - before) / engines, "bytes");
}

/// Append one wake and idle of an adapter, a claim and a renewal.
void append_round(
    fold_run& run,
    std::vector<std::pair<log_offset, record>>& mix,
    std::uint32_t round,
    const std::vector<session_id>& sessions,
    const std::vector<replica_view>& bases)
{
    const replica_view& base = bases[round % bases.size()];
    const std::uint32_t adapter =
        base.servable.value - 1 + models * (round % 400);
    const servable_id servable(models + 1 + adapter);
    const auto engine = run.state.engine(base.engine);
    const session_id session = engine->holder;
    const auto author = run.state.session(session)->author.value;
    const auto add = [&](record_payload payload)
    {
        record value = run.next(std::move(payload), author);
        mix.emplace_back(run.at, std::move(value));
        return run.at.value;
    };
    const replica_id replica(add(replica_decide{
        servable,
        run.state.servable(servable)->current,
        base.engine,
        engine->current,
        base.id,
        session,
        priority::normal}));
    for (const replica_state to :
         {replica_state::ready,
          replica_state::draining,
          replica_state::unloading,
          replica_state::gone})
        add(replica_report{replica, to, engine->held, session, {}});
    const claim_key key{round, ~std::uint64_t(round)};
    add(claim_open{key, session});
    add(claim_close{key, session, claim_outcome::answered, 200, "{}"});
    add(session_renew{sessions[round % sessions.size()]});
}

void measure_fold(fold_run& run, const std::vector<session_id>& sessions)
{
    std::vector<replica_view> bases;
    run.state.for_each_replica(
        [&](const replica_view& row)
        {
            bases.push_back(row);
        });
    std::vector<std::pair<log_offset, record>> mix;
    for (std::uint32_t round = 0; round < rounds; ++round)
        append_round(run, mix, round, sessions, bases);

    std::uint64_t accepted = 0;
    const std::size_t before = heap_bytes();
    auto start = std::chrono::steady_clock::now();
    for (const auto& [offset, value] : mix)
        if (run.state.apply(offset, value).status == fold_status::accepted)
            ++accepted;
    print("fold_rate", double(mix.size()) / seconds_since(start), "records/s");
    print(
        "fold_mix_accepted",
        100 * double(accepted) / double(mix.size()),
        "percent");
    print("bytes_per_claim", double(heap_bytes() - before) / rounds, "bytes");

    std::vector<std::vector<std::byte>> encoded;
    encoded.reserve(mix.size());
    start = std::chrono::steady_clock::now();
    for (const auto& entry : mix)
        encoded.push_back(encode(entry.second));
    print(
        "encode_rate", double(mix.size()) / seconds_since(start), "records/s");
    std::size_t bytes = 0;
    std::size_t decoded = 0;
    start = std::chrono::steady_clock::now();
    for (const auto& entry : encoded)
    {
        decoded += decode(entry) ? 1 : 0;
        bytes += entry.size();
    }
    print("decode_rate", double(decoded) / seconds_since(start), "records/s");
    print("bytes_per_record", double(bytes) / double(mix.size()), "bytes");
}

/// A claim that is opened and closed without an answer to keep.
void put_claim(fold_run& run, session_id session, std::uint64_t number)
{
    const claim_key key{number * 0x9E3779B97F4A7C15ULL, ~number};
    run.put(claim_open{key, session, claim_content(number)}, 100);
    run.put(claim_close{key, session, claim_outcome::answered, 200, ""}, 100);
}

/// Bytes and fold rate of closed claims at a horizon, 16 a second.
void measure_claims(const std::string& name, std::uint32_t horizon_s)
{
    constexpr std::uint64_t a_second = 16;
    constexpr std::uint64_t more = 20'000;
    fold_run run;
    run.put(
        router_join{"r", "colombo-a", "10.1.0.1:7001", "10.1.0.1:8080"}, 100);
    const session_id session(run.at.value);
    policy_spec policy;
    policy.claim_horizon_ms = horizon_s * 1000;
    config_change change;
    change.author = "bench";
    change.changes.push_back(change_of(entity_kind::policy, "policy", policy));
    run.put(std::move(change), 1);

    const std::uint64_t count = a_second * horizon_s;
    const std::size_t before = heap_bytes();
    std::uint64_t number = 0;
    for (; number < count; ++number)
    {
        run.elapsed = static_cast<stamp_ms>(number * 1000 / a_second);
        put_claim(run, session, number);
    }
    print(
        (name + "_bytes_per_claim").c_str(),
        double(heap_bytes() - before) / double(count),
        "bytes");
    const auto start = std::chrono::steady_clock::now();
    for (; number < count + more; ++number)
    {
        run.elapsed = static_cast<stamp_ms>(number * 1000 / a_second);
        put_claim(run, session, number);
    }
    print(
        (name + "_fold_rate").c_str(),
        2 * double(more) / seconds_since(start),
        "records/s");
}

/// Time to find out that a key is free among the claims of a horizon, 16 a
/// second.
void measure_claim_lookup(const std::string& name, std::uint32_t horizon_s)
{
    constexpr std::uint64_t a_second = 16;
    constexpr std::uint64_t lookups = 20'000;
    const auto key = [](std::uint64_t number)
    {
        return claim_key{number * 0x9E3779B97F4A7C15ULL, ~number};
    };
    detail::closed_claims claims;
    const std::uint64_t count = a_second * horizon_s;
    for (std::uint64_t number = 0; number < count; ++number)
    {
        const auto at = static_cast<stamp_ms>(number * 1000 / a_second);
        claims.insert({key(number)}, at);
    }
    std::uint64_t found = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t number = count; number < count + lookups; ++number)
        found += claims.find(key(number)) == nullptr ? 0 : 1;
    const double took = seconds_since(start);
    print((name + "_lookup").c_str(), took / double(lookups) * 1e9, "ns");
    print((name + "_lookup_found").c_str(), double(found), "claims");
}

void measure_snapshot(const fleet_state& state)
{
    constexpr int repeats = 7;
    std::vector<double> hash_ms;
    std::vector<double> snapshot_ms;
    std::vector<double> restore_ms;
    std::vector<std::byte> bytes;
    bool equal = true;
    for (int i = 0; i < repeats; ++i)
    {
        auto start = std::chrono::steady_clock::now();
        const std::uint64_t hash = state.hash();
        hash_ms.push_back(seconds_since(start) * 1000);
        start = std::chrono::steady_clock::now();
        bytes = state.snapshot();
        snapshot_ms.push_back(seconds_since(start) * 1000);
        start = std::chrono::steady_clock::now();
        const auto again = fleet_state::restore(bytes);
        restore_ms.push_back(seconds_since(start) * 1000);
        equal = equal && again && again->hash() == hash;
    }
    const auto median = [](std::vector<double>& values)
    {
        std::sort(values.begin(), values.end());
        return values[values.size() / 2];
    };
    print("snapshot", double(bytes.size()), "bytes");
    print("snapshot_time", median(snapshot_ms), "ms");
    print("restore_time", median(restore_ms), "ms");
    print("hash_time", median(hash_ms), "ms");
    print("restored_equal", equal ? 1 : 0, "bool");
}

/// @return Heap bytes that `Memory` holds after `use` saw all servables thrice.
template <class Memory, class Use>
double used_bytes(Memory& memory, Use&& use)
{
    const std::size_t before = heap_bytes();
    instant now{std::chrono::seconds(1000)};
    for (int round = 0; round < 3; ++round)
        for (std::uint32_t id = 1; id <= models + adapters; ++id)
        {
            now += std::chrono::milliseconds(10);
            use(memory, servable_id(id), now);
        }
    return double(heap_bytes() - before);
}

/// What a router remembers of past uses when all servables were used.
void measure_use_memory(const fleet_state& state)
{
    const auto strategy = [](auto& memory, servable_id id, instant now)
    {
        memory.used(id, now);
    };
    detail::gap_cost gaps(std::chrono::minutes(5));
    print("gap_history", used_bytes(gaps, strategy), "bytes");
    detail::break_even means(std::chrono::minutes(5));
    print("break_even_history", used_bytes(means, strategy), "bytes");
    detail::activity uses;
    print(
        "activity_history",
        used_bytes(
            uses,
            [&state](detail::activity& memory, servable_id id, instant now)
            {
                memory.used(state, id, now);
            }),
        "bytes");
}

} // namespace

int main()
{
    const std::size_t empty = heap_bytes();
    fold_run run;
    put_fleet(run);
    const std::vector<session_id> sessions = join_all(run);
    load_all(run, sessions);
    print("fleet_heap", double(heap_bytes() - empty) / (1024 * 1024), "MiB");
    measure_snapshot(run.state);
    measure_use_memory(run.state);
    measure_fold(run, sessions);
    measure_claims("claims_15min", 15 * 60);
    measure_claims("claims_2h", 2 * 3600);
    measure_claim_lookup("claims_15min", 15 * 60);
    measure_claim_lookup("claims_2h", 2 * 3600);
    measure_claim_lookup("claims_24h", 24 * 3600);
    print("setup_rejected", double(run.rejected), "records");
    return run.rejected == 0 ? 0 : 1;
}
