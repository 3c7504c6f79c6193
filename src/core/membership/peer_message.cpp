#include <roseworks/codec.hpp>
#include <roseworks/membership.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <sstream>
#include <string>

namespace roseworks
{

namespace
{

constexpr std::uint8_t peer_message_version = 1;
constexpr std::size_t max_peer_message_bytes = 512;

/// Kind numbers on the wire: the index in `peer_message::body`.
enum class body_kind : std::uint8_t
{
    probe = 0,
    indirect_probe = 1,
    probe_ack = 2,
    demand = 3,
    visit = 4
};

template <class Archive>
void write_body(Archive& archive, const peer_message& message)
{
    if (const auto* body = std::get_if<probe>(&message.body))
    {
        archive(body->sequence, body->target.value);
        return;
    }
    if (const auto* body = std::get_if<indirect_probe>(&message.body))
    {
        archive(body->sequence, body->target.value);
        return;
    }
    if (const auto* body = std::get_if<probe_ack>(&message.body))
    {
        archive(body->sequence, body->target.value);
        return;
    }
    if (const auto* body = std::get_if<caller_visit>(&message.body))
    {
        archive(body->servable.value, body->caller);
        return;
    }
    const auto& body = std::get<servable_demand>(message.body);
    archive(
        body.servable.value,
        static_cast<std::uint8_t>(body.urgency),
        body.waiting);
}

template <class Body, class Archive>
Body read_probe(Archive& archive)
{
    Body body;
    archive(body.sequence, body.target.value);
    return body;
}

template <class Archive>
servable_demand read_demand(Archive& archive, session_id from)
{
    servable_demand body;
    std::uint8_t urgency = 0;
    archive(body.servable.value, urgency, body.waiting);
    if (urgency > static_cast<std::uint8_t>(priority::batch))
        throw cereal::Exception("unknown priority");
    body.urgency = static_cast<priority>(urgency);
    body.from = from;
    return body;
}

template <class Archive>
caller_visit read_visit(Archive& archive)
{
    caller_visit body;
    archive(body.servable.value, body.caller);
    return body;
}

template <class Archive>
void read_body(Archive& archive, std::uint8_t kind, peer_message& message)
{
    switch (static_cast<body_kind>(kind))
    {
    case body_kind::probe:
        message.body = read_probe<probe>(archive);
        return;
    case body_kind::indirect_probe:
        message.body = read_probe<indirect_probe>(archive);
        return;
    case body_kind::probe_ack:
        message.body = read_probe<probe_ack>(archive);
        return;
    case body_kind::demand:
        message.body = read_demand(archive, message.from);
        return;
    case body_kind::visit:
        message.body = read_visit(archive);
        return;
    }
    throw cereal::Exception("unknown message kind");
}

template <class Archive>
member_update read_update(Archive& archive)
{
    member_update update;
    std::uint8_t state = 0;
    archive(update.session.value, update.incarnation, state);
    if (state > static_cast<std::uint8_t>(liveness::dead))
        throw cereal::Exception("unknown liveness");
    update.state = static_cast<liveness>(state);
    return update;
}

peer_message read_message(std::istream& in)
{
    cereal::PortableBinaryInputArchive archive(in);
    std::uint8_t version = 0;
    std::uint8_t kind = 0;
    std::uint8_t updates = 0;
    peer_message message;
    archive(version, kind, message.from.value);
    if (version != peer_message_version)
        throw cereal::Exception("unsupported message version");
    read_body(archive, kind, message);
    archive(updates);
    if (updates > membership::max_updates)
        throw cereal::Exception("more updates than a message may carry");
    for (std::uint8_t i = 0; i < updates; ++i)
        message.updates.push_back(read_update(archive));
    if (in.peek() != std::istream::traits_type::eof())
        throw cereal::Exception("trailing bytes after the message");
    return message;
}

} // namespace

std::vector<std::byte> encode(const peer_message& message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(
            peer_message_version,
            static_cast<std::uint8_t>(message.body.index()),
            message.from.value);
        write_body(archive, message);
        archive(static_cast<std::uint8_t>(message.updates.size()));
        for (const member_update& update : message.updates)
        {
            archive(
                update.session.value,
                update.incarnation,
                static_cast<std::uint8_t>(update.state));
        }
    }
    std::string const text = out.str();
    const auto* first = reinterpret_cast<const std::byte*>(text.data());
    return {first, first + text.size()};
}

boost::leaf::result<peer_message>
decode_peer_message(std::span<std::byte const> bytes)
{
    if (bytes.size() > max_peer_message_bytes)
        return boost::leaf::new_error(
            codec_error{"datagram too long", bytes.size()});
    std::istringstream in(
        std::string(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
    try
    {
        return read_message(in);
    }
    catch (const cereal::Exception& error)
    {
        in.clear();
        const auto at = static_cast<std::size_t>(in.tellg());
        return boost::leaf::new_error(codec_error{error.what(), at});
    }
}

} // namespace roseworks
