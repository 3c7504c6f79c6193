#include "core/state/archive_reader.hpp"
#include "core/state/archive_writer.hpp"
#include "core/state/byte_streams.hpp"
#include "core/state/fleet_data.hpp"
#include "core/state/fleet_state_impl.hpp"

#include <roseworks/codec.hpp>

#include <xxhash.h>

#include <exception>

namespace roseworks
{

namespace
{

using detail::archive_reader;
using detail::archive_writer;
using detail::fleet_data;
using detail::newest_snapshot_format;

constexpr std::uint32_t magic = 0x53465752;
constexpr std::uint16_t oldest_format = 1;

std::vector<std::byte> body_of(const fleet_data& data)
{
    detail::byte_sink sink;
    archive_writer out(sink);
    detail::save(out, data);
    return sink.take();
}

std::uint64_t hash_of(std::span<std::byte const> body)
{
    return XXH64(body.data(), body.size(), 0);
}

/// Restore the sums that aren't written and check what refers to what.
void link_replicas(archive_reader& in, fleet_data& data)
{
    for (const auto& [id, row] : data.replicas.all())
    {
        detail::engine_row* engine = data.engines.row(row.engine);
        if (engine == nullptr || data.servables.row(row.servable) == nullptr)
            return in.fail("replica of an unknown servable or engine");
        const std::uint64_t reserved =
            std::uint64_t(engine->reserved_mib) + row.memory_mib;
        if (reserved > engine->spec.memory_mib)
            return in.fail("engine with more replicas than memory");
        if (row.holds_slot != (row.state == replica_state::loading))
            return in.fail("weight-store slot without a load");
        engine->reserved_mib = static_cast<std::uint32_t>(reserved);
    }
}

void link_grants(archive_reader& in, fleet_data& data)
{
    for (const auto& [id, grant] : data.grants.grants())
    {
        detail::engine_row* engine = data.engines.row(id);
        if (engine == nullptr)
            return in.fail("grant on an unknown engine");
        const std::uint64_t reserved =
            std::uint64_t(engine->reserved_mib) + grant.memory_mib;
        if (reserved > engine->spec.memory_mib)
            return in.fail("engine with a grant beyond its memory");
        engine->reserved_mib = static_cast<std::uint32_t>(reserved);
    }
    for (const auto& [id, row] : data.grants.models())
    {
        if (data.grants.on(row.engine) == nullptr ||
            data.servables.row(row.servable) == nullptr)
            return in.fail("granted model without a grant or servable");
        if (data.replicas.find(id) != nullptr)
            return in.fail("granted model that is a replica");
    }
}

void check_leases(archive_reader& in, const fleet_data& data)
{
    for (const detail::engine_row& row : data.engines.all())
    {
        if (row.holder && !data.sessions.live(row.holder))
            return in.fail("lease without a live session");
        for (const session_id earlier : row.earlier)
            if (!data.sessions.live(earlier))
                return in.fail("former holder without a live session");
    }
}

void check_policy(archive_reader& in, const fleet_data& data)
{
    if (data.policy.spec.store_loads_per_second == 0)
        in.fail("policy out of range");
}

void read_body(
    std::span<std::byte const> body,
    const snapshot_header& about,
    archive_reader& head,
    fleet_data& data)
{
    if (hash_of(body) != about.hash)
        return head.fail("hash of the content doesn't match");
    archive_reader in(body);
    detail::load(in, data, about.format);
    in.finish();
    if (!in.failed())
        link_replicas(in, data);
    if (!in.failed())
        link_grants(in, data);
    if (!in.failed())
        check_leases(in, data);
    if (!in.failed())
        check_policy(in, data);
    if (in.failed())
        head.fail(in.error().what);
}

snapshot_header read_header(archive_reader& in)
{
    std::uint32_t mark = 0;
    snapshot_header about;
    in.number(mark);
    in.number(about.format);
    in.number(about.folded);
    in.number(about.hash);
    if (!in.failed() && mark != magic)
        in.fail("not a snapshot");
    return about;
}

void read_snapshot(archive_reader& in, fleet_data& data)
{
    const snapshot_header about = read_header(in);
    std::vector<std::byte> body;
    in.bytes(body);
    in.finish();
    const bool readable =
        about.format >= oldest_format && about.format <= newest_snapshot_format;
    if (!in.failed() && !readable)
        in.fail("not a snapshot of a known format");
    if (in.failed())
        return;
    data.folded = about.folded;
    read_body(body, about, in, data);
}

} // namespace

std::uint64_t fleet_state::hash() const
{
    detail::hash_sink sink;
    archive_writer out(sink);
    detail::save(out, this->self->data);
    return sink.digest();
}

std::vector<std::byte> fleet_state::snapshot() const
{
    const std::vector<std::byte> body = body_of(this->self->data);
    detail::byte_sink sink;
    archive_writer out(sink);
    out.number(magic);
    out.number(newest_snapshot_format);
    out.number(this->self->data.folded);
    out.number(hash_of(body));
    out.bytes(body);
    return sink.take();
}

std::optional<snapshot_header>
read_snapshot_header(std::span<std::byte const> bytes)
{
    archive_reader in(bytes);
    const snapshot_header about = read_header(in);
    if (in.failed())
        return std::nullopt;
    return about;
}

bool is_newest_format(const snapshot_header& about)
{
    return about.format == newest_snapshot_format;
}

boost::leaf::result<fleet_state>
fleet_state::restore(std::span<std::byte const> bytes)
{
    try
    {
        fleet_state state;
        archive_reader in(bytes);
        read_snapshot(in, state.self->data);
        if (in.failed())
            return boost::leaf::new_error(in.error());
        return state;
    }
    catch (const std::exception& error)
    {
        return boost::leaf::new_error(codec_error{error.what(), 0});
    }
}

} // namespace roseworks
