#include "core/state/archive_reader.hpp"
#include "core/state/archive_writer.hpp"
#include "core/state/byte_streams.hpp"
#include "core/state/record_fields.hpp"
#include "core/state/spec_fields.hpp"

#include <roseworks/codec.hpp>

#include <exception>
#include <utility>

namespace roseworks
{

namespace
{

using detail::archive_reader;
using detail::archive_writer;
using detail::byte_sink;

constexpr std::uint16_t magic = 0x5752;
constexpr std::size_t kinds = std::variant_size_v<record_payload>;
constexpr std::uint8_t entity_kinds = std::variant_size_v<entity_spec>;

/// Write a 32-bit length and what `write` writes.
template <class Write>
void write_block(byte_sink& sink, archive_writer& out, Write&& write)
{
    const std::size_t position = sink.size();
    out.number(std::uint32_t(0));
    const std::size_t start = sink.size();
    write();
    sink.patch(position, static_cast<std::uint32_t>(sink.size() - start));
}

void write_change(
    byte_sink& sink, archive_writer& out, const entity_change& change)
{
    out.number(static_cast<std::uint8_t>(change.kind));
    out.text(change.name);
    out.number(change.expected);
    out.number(change.schema);
    out.number(change.spec.has_value() || !change.unread.empty());
    write_block(
        sink,
        out,
        [&]
        {
            if (!change.spec)
                return out.raw(change.unread);
            std::visit(
                [&](const auto& spec)
                {
                    detail::fields(out, spec, change.schema);
                },
                *change.spec);
        });
}

void write_config(
    byte_sink& sink, archive_writer& out, const config_change& value)
{
    out.text(value.author);
    out.text(value.note);
    out.list(
        value.changes,
        [&](const entity_change& change)
        {
            write_change(sink, out, change);
        });
}

void write_payload(
    byte_sink& sink, archive_writer& out, const record_payload& payload)
{
    std::visit(
        [&]<class T>(const T& value)
        {
            if constexpr (std::is_same_v<T, unknown_record>)
                out.raw(value.data);
            else if constexpr (std::is_same_v<T, config_change>)
            {
                write_config(sink, out, value);
                out.bytes(value.signature);
            }
            else
                detail::fields(out, value);
        },
        payload);
}

std::uint8_t kind_number(const record_payload& payload)
{
    if (const auto* unknown = std::get_if<unknown_record>(&payload))
        return unknown->kind;
    return static_cast<std::uint8_t>(payload.index());
}

/// Make the alternative of a variant by its number.
template <class Variant, std::size_t... Index>
void emplace_index(
    Variant& target, std::size_t index, std::index_sequence<Index...>)
{
    ((Index == index ? (void)target.template emplace<Index>() : (void)0), ...);
}

void read_spec(archive_reader& in, entity_change& change, std::size_t length)
{
    entity_spec& spec = change.spec.emplace();
    emplace_index(
        spec,
        static_cast<std::size_t>(change.kind) - 1,
        std::make_index_sequence<entity_kinds>());
    in.block(
        length,
        [&]
        {
            std::visit(
                [&](auto& value)
                {
                    detail::fields(in, value, change.schema);
                },
                spec);
        });
}

/// @return Whether the entity's kind is known.
bool read_change(archive_reader& in, entity_change& change)
{
    std::uint8_t kind = 0;
    bool put = false;
    in.number(kind);
    in.text(change.name);
    in.number(change.expected);
    in.number(change.schema);
    in.number(put);
    const std::size_t length = in.length();
    if (in.failed())
        return true;
    if (kind == 0 || change.schema == 0)
        in.fail("entity of kind or schema 0");
    if (put != (length != 0))
        in.fail("entity without a spec, or removed with one");
    change.kind = static_cast<entity_kind>(kind);
    if (kind > entity_kinds || change.schema > newest_entity_schema)
        in.raw(change.unread, length);
    else if (put)
        read_spec(in, change, length);
    return kind <= entity_kinds;
}

/// @return Whether all entity kinds are known.
bool read_config(archive_reader& in, config_change& value)
{
    bool known = true;
    in.text(value.author);
    in.text(value.note);
    in.list(
        value.changes,
        [&](entity_change& change)
        {
            known = read_change(in, change) && known;
        });
    in.bytes(value.signature);
    return known;
}

/// @return Whether the payload's content is known to this program.
bool read_payload(archive_reader& in, record_payload& payload)
{
    bool known = true;
    std::visit(
        [&]<class T>(T& value)
        {
            if constexpr (std::is_same_v<T, unknown_record>)
                in.fail("unknown kind");
            else if constexpr (std::is_same_v<T, config_change>)
                known = read_config(in, value);
            else
                detail::fields(in, value);
        },
        payload);
    return known;
}

void read_record(
    archive_reader& in, std::span<std::byte const> bytes, record& value)
{
    std::uint16_t mark = 0;
    std::uint8_t kind = 0;
    in.number(mark);
    in.number(value.schema);
    detail::fields(in, value.id);
    in.number(value.stamp);
    in.number(kind);
    const std::size_t length = in.length();
    if (in.failed())
        return;
    if (mark != magic || value.schema == 0)
        return in.fail("not a record");

    const auto payload = bytes.subspan(bytes.size() - in.remaining(), length);
    if (value.schema > newest_record_schema || kind == 0 || kind >= kinds)
    {
        unknown_record carried{kind, {}};
        in.raw(carried.data, length);
        in.finish();
        value.payload = std::move(carried);
        return;
    }

    bool known = true;
    in.block(
        length,
        [&]
        {
            emplace_index(
                value.payload, kind, std::make_index_sequence<kinds>());
            known = read_payload(in, value.payload);
        });
    in.finish();
    if (!known)
        value.payload = unknown_record{kind, {payload.begin(), payload.end()}};
}

} // namespace

std::vector<std::byte> encode(const record& value)
{
    byte_sink sink;
    archive_writer out(sink);
    out.number(magic);
    out.number(value.schema);
    detail::fields(out, value.id);
    out.number(value.stamp);
    out.number(kind_number(value.payload));
    write_block(
        sink,
        out,
        [&]
        {
            write_payload(sink, out, value.payload);
        });
    return sink.take();
}

boost::leaf::result<record> decode(std::span<std::byte const> bytes)
{
    if (bytes.size() > max_record_bytes)
        return boost::leaf::new_error(codec_error{"record too long", 0});
    try
    {
        record value;
        archive_reader in(bytes);
        read_record(in, bytes, value);
        if (in.failed())
            return boost::leaf::new_error(in.error());
        return value;
    }
    catch (const std::exception& error)
    {
        return boost::leaf::new_error(codec_error{error.what(), 0});
    }
}

} // namespace roseworks
