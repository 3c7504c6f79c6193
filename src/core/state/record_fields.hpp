#pragma once

#include <roseworks/record.hpp>

#include <type_traits>

/// Field lists of the record payloads, one for reading and writing alike. The
/// order of fields is the wire format of schema 1: append only.
namespace roseworks::detail
{

/// `T` when fields are read into it, `const T` when they are written.
template <class Io, class T>
using field_of = std::conditional_t<Io::reads, T, const T>;

/// Fields that schema 1 got later stand at the end, and are left out when they
/// say nothing: a record of an earlier program ends before them.
template <class Io>
bool optional_follows(const Io& io, bool is_told)
{
    if constexpr (Io::reads)
        return io.remaining() != 0;
    else
        return is_told;
}

template <class Io>
void fields(Io& io, field_of<Io, record_id>& value)
{
    io.number(value.author);
    io.number(value.incarnation);
    io.number(value.sequence);
}

template <class Io>
void fields(Io& io, field_of<Io, claim_key>& value)
{
    io.number(value.high);
    io.number(value.low);
}

/// A field added to a payload of schema 1: nothing is written when it is empty,
/// so that older programs read what they know.
template <class Io>
void added_bytes(Io& io, field_of<Io, std::vector<std::byte>>& value)
{
    if constexpr (Io::reads)
    {
        if (io.remaining() == 0)
            return;
        io.bytes(value);
        if (value.empty())
            io.fail("an empty field that is left out");
    }
    else if (!value.empty())
        io.bytes(value);
}

template <class Io>
void fields(Io& io, field_of<Io, router_join>& value)
{
    io.text(value.name);
    io.text(value.data_centre);
    io.text(value.peer_address);
    io.text(value.http_address);
}

template <class Io>
void fields(Io& io, field_of<Io, router_leave>& value)
{
    io.number(value.session);
}

template <class Io>
void fields(Io& io, field_of<Io, router_gone>& value)
{
    io.number(value.session);
    io.text(value.evidence);
    added_bytes(io, value.signature);
}

template <class Io>
void fields(Io& io, field_of<Io, session_renew>& value)
{
    io.number(value.session);
}

template <class Io>
void fields(Io& io, field_of<Io, lease_acquire>& value)
{
    io.number(value.engine);
    io.number(value.session);
    io.number(value.previous);
    io.number(value.previous_renewal);
}

template <class Io>
void fields(Io& io, field_of<Io, lease_release>& value)
{
    io.number(value.engine);
    io.number(value.session);
}

template <class Io>
void fields(Io& io, field_of<Io, replica_decide>& value)
{
    io.number(value.servable);
    io.number(value.servable_revision);
    io.number(value.engine);
    io.number(value.engine_revision);
    io.number(value.base);
    io.number(value.session);
    io.choice(value.urgency, 3);
}

template <class Io>
void fields(Io& io, field_of<Io, replica_report>& value)
{
    io.number(value.replica);
    io.choice(value.to, 7);
    io.number(value.held);
    io.number(value.session);
    io.text(value.cause);
}

template <class Io>
void fields(Io& io, field_of<Io, claim_open>& value)
{
    fields(io, value.key);
    io.number(value.session);
    const bool is_told = value.content != 0 || value.issued != 0;
    if (optional_follows(io, is_told))
        io.number(value.content);
    if (optional_follows(io, value.issued != 0))
        io.time(value.issued);
}

template <class Io>
void fields(Io& io, field_of<Io, claim_close>& value)
{
    fields(io, value.key);
    io.number(value.session);
    io.choice(value.outcome, 4);
    io.number(value.status);
    io.text(value.body);
}

template <class Io>
void fields(Io& io, field_of<Io, request_suspect>& value)
{
    io.number(value.request);
    io.number(value.engine);
    io.number(value.session);
}

template <class Io>
void fields(Io& io, field_of<Io, request_unblock>& value)
{
    io.number(value.request);
    io.text(value.author);
    added_bytes(io, value.signature);
}

template <class Io>
void fields(Io& io, field_of<Io, checkpoint_chunk>& value)
{
    io.number(value.at);
    io.number(value.state_hash);
    io.number(value.index);
    io.number(value.count);
    io.bytes(value.data);
}

template <class Io>
void fields(Io& io, field_of<Io, grant_open>& value)
{
    io.number(value.engine);
    io.number(value.session);
    io.number(value.held);
    io.number(value.memory_mib);
    io.number(value.loads);
    io.number(value.term_ms);
}

template <class Io>
void fields(Io& io, field_of<Io, grant_model>& value)
{
    io.number(value.servable);
    io.number(value.servable_revision);
    io.number(value.engine);
    io.number(value.session);
    io.number(value.held);
}

template <class Io>
void fields(Io& io, field_of<Io, grant_settle>& value)
{
    io.number(value.replica);
    io.number(value.session);
    io.number(value.held);
    io.number(value.used);
}

template <class Io>
void fields(Io& io, field_of<Io, operator_key_change>& value)
{
    io.text(value.author);
    io.number(value.number);
    io.bytes(value.key);
    io.bytes(value.signature);
}

} // namespace roseworks::detail
