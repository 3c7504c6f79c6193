#include <roseworks/codec.hpp>
#include <roseworks/membership.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

/// Delivers datagrams between `membership` objects in virtual time. All arrive
/// without delay unless the sender or the receiver is disconnected.
class fake_network
{
public:
    explicit fake_network(std::uint64_t count)
    {
        for (std::uint64_t id = 1; id <= count; ++id)
        {
            this->list.push_back({session_id(id), std::to_string(id)});
            membership::options settings;
            settings.seed = id;
            this->nodes.emplace(id, membership(settings));
        }
        for (auto& [id, node] : this->nodes)
            node.members_changed(session_id(id), this->list, this->now);
    }

    void run(duration length)
    {
        const instant end = this->now + length;
        while (this->now < end)
        {
            this->now += 100ms;
            for (auto& [id, node] : this->nodes)
            {
                if (!this->disconnected.contains(id))
                    node.tick(this->now);
            }
            this->deliver();
        }
    }

    void deliver()
    {
        bool again = true;
        while (again)
        {
            again = false;
            for (auto& [id, node] : this->nodes)
            {
                for (const auto& item : node.take_outgoing())
                    again = this->forward(id, item) || again;
            }
        }
    }

    bool forward(std::uint64_t from, const membership::outgoing& item)
    {
        ++this->datagrams;
        const std::uint64_t to = std::stoull(item.address);
        if (this->disconnected.contains(from) ||
            this->disconnected.contains(to))
            return false;
        this->nodes.at(to).received(item.message, this->now);
        return true;
    }

    std::size_t alive_at(std::uint64_t id) const
    {
        return this->nodes.at(id).alive().size();
    }

    instant now{};
    std::vector<membership::member> list;
    std::map<std::uint64_t, membership> nodes;
    std::set<std::uint64_t> disconnected;
    std::uint64_t datagrams = 0;
};

std::optional<peer_message> decoded(std::span<const std::byte> bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<peer_message>>
        {
            BOOST_LEAF_AUTO(message, decode_peer_message(bytes));
            return std::optional(message);
        },
        []
        {
            return std::optional<peer_message>();
        });
}

} // namespace

Test(membership, healthy_members_stay_alive)
{
    fake_network network(9);
    network.run(60s);
    for (const auto& [id, node] : network.nodes)
        cr_assert_eq(node.alive().size(), 9U);
}

Test(membership, dead_member_is_detected_by_all)
{
    fake_network network(9);
    network.run(5s);
    network.disconnected.insert(4);
    network.run(60s);
    for (std::uint64_t id = 1; id <= 9; ++id)
    {
        if (id == 4)
            continue;
        cr_assert_eq(network.alive_at(id), 8U);
        cr_assert(
            network.nodes.at(id).state_of(session_id(4)) == liveness::dead);
    }
}

Test(membership, member_that_reconnects_refutes_its_death)
{
    fake_network network(9);
    network.disconnected.insert(4);
    network.run(60s);
    cr_assert_eq(network.alive_at(1), 8U);
    network.disconnected.clear();
    network.run(60s);
    for (std::uint64_t id = 1; id <= 9; ++id)
        cr_assert_eq(network.alive_at(id), 9U);
}

Test(membership, member_that_answers_an_indirect_probe_stays_alive)
{
    membership::options settings;
    membership node(settings);
    const std::vector<membership::member> list{
        {session_id(1), "1"}, {session_id(2), "2"}, {session_id(3), "3"}};
    instant now{};
    node.members_changed(session_id(1), list, now);
    node.tick(now);
    const auto first = node.take_outgoing();
    cr_assert_eq(first.size(), 1U);
    const auto sent = std::get<probe>(first[0].message.body);
    now += 300ms;
    node.tick(now);
    const auto indirect = node.take_outgoing();
    cr_assert_eq(indirect.size(), 1U);
    const auto request = std::get<indirect_probe>(indirect[0].message.body);
    cr_assert(request.target == sent.target);
    const session_id helper(5 - sent.target.value);
    node.received({helper, probe_ack{request.sequence, sent.target}, {}}, now);
    now += 700ms;
    node.tick(now);
    cr_assert(node.state_of(sent.target) == liveness::alive);
}

Test(membership, acknowledgement_of_an_unknown_probe_is_ignored)
{
    membership node({});
    const std::vector<membership::member> list{
        {session_id(1), "1"}, {session_id(2), "2"}};
    instant now{};
    node.members_changed(session_id(1), list, now);
    node.tick(now);
    node.received({session_id(2), probe_ack{77, session_id(2)}, {}}, now);
    now += 1s;
    node.tick(now);
    cr_assert(node.state_of(session_id(2)) == liveness::suspect);
}

Test(membership, probe_of_another_session_at_the_same_address_is_not_answered)
{
    membership node({});
    const std::vector<membership::member> list{
        {session_id(1), "1"}, {session_id(2), "2"}};
    node.members_changed(session_id(1), list, instant{});
    node.received({session_id(2), probe{1, session_id(9)}, {}}, instant{});
    cr_assert(node.take_outgoing().empty());
}

Test(membership, messages_of_unknown_sessions_are_ignored)
{
    membership node({});
    const std::vector<membership::member> list{
        {session_id(1), "1"}, {session_id(2), "2"}};
    node.members_changed(session_id(1), list, instant{});
    (void)node.take_changed();
    const member_update update{session_id(3), 1, liveness::alive};
    node.received(
        {session_id(3), probe{1, session_id(1)}, {update}}, instant{});
    cr_assert(node.take_outgoing().empty());
    cr_assert_not(node.take_changed());
    cr_assert_eq(node.alive().size(), 2U);
}

// Anybody who has seen a datagram of a session can replay it after the end of
// the session. It must neither change the state of members, nor be relayed, nor
// request a model.
Test(membership, messages_of_ended_sessions_are_ignored)
{
    membership node({});
    const std::vector<membership::member> list{
        {session_id(1), "1"}, {session_id(2), "2"}};
    node.members_changed(session_id(1), list, instant{});
    (void)node.take_changed();
    (void)node.take_outgoing();
    const session_id ended(3);
    const member_update update{session_id(2), 5, liveness::dead};
    node.received({ended, probe{1, session_id(1)}, {update}}, instant{});
    node.received({ended, indirect_probe{1, session_id(2)}, {}}, instant{});
    node.received({ended, probe_ack{1, session_id(2)}, {update}}, instant{});
    node.received(
        {ended, servable_demand{servable_id(3)}, {update}}, instant{});
    cr_assert(node.take_outgoing().empty());
    cr_assert(node.take_demands().empty());
    cr_assert_not(node.take_changed());
    cr_assert_eq(node.alive().size(), 2U);
}

Test(membership, cost_per_member_does_not_grow_with_the_fleet)
{
    fake_network small(10);
    fake_network large(100);
    small.run(30s);
    large.run(30s);
    const auto per_small = small.datagrams / 10;
    const auto per_large = large.datagrams / 100;
    cr_assert_eq(per_small, per_large);
}

Test(membership, demand_is_delivered_with_its_sender)
{
    fake_network network(3);
    servable_demand wanted;
    wanted.servable = servable_id(7);
    wanted.urgency = priority::urgent;
    wanted.waiting = 12;
    network.nodes.at(1).send_demand(session_id(2), wanted);
    network.deliver();
    const auto heard = network.nodes.at(2).take_demands();
    cr_assert_eq(heard.size(), 1U);
    cr_assert_eq(heard[0].waiting, 12U);
}

Test(membership, a_callers_visit_is_delivered)
{
    fake_network network(3);
    network.nodes.at(1).send_visit(session_id(2), {servable_id(7), 12});
    network.deliver();
    const auto heard = network.nodes.at(2).take_visits();
    cr_assert_eq(heard.size(), 1U);
    cr_assert(heard[0].servable == servable_id(7));
    cr_assert_eq(heard[0].caller, 12U);
}

Test(membership, demand_of_an_unknown_session_is_dropped)
{
    membership node({});
    const std::vector<membership::member> list{
        {session_id(1), "1"}, {session_id(2), "2"}};
    node.members_changed(session_id(1), list, instant{});
    servable_demand wanted;
    wanted.servable = servable_id(7);
    node.received({session_id(99), wanted, {}}, instant{});
    cr_assert(node.take_demands().empty());
    node.received({session_id(2), wanted, {}}, instant{});
    cr_assert_eq(node.take_demands().size(), 1U);
}

Test(peer_message, round_trip_of_every_kind)
{
    const member_update update{session_id(9), 3, liveness::suspect};
    const std::vector<peer_message> messages{
        {session_id(1), probe{1, session_id(2)}, {}},
        {session_id(1), indirect_probe{2, session_id(2)}, {update}},
        {session_id(1), probe_ack{3, session_id(2)}, {update, update}},
        {session_id(1), servable_demand{servable_id(4)}, {}},
        {session_id(1), caller_visit{servable_id(5), 6}, {update}}};
    for (const peer_message& message : messages)
    {
        const auto bytes = encode(message);
        const auto back = decoded(bytes);
        cr_assert(back.has_value());
        cr_assert(encode(*back) == bytes);
        for (std::size_t disconnected = 0; disconnected < bytes.size();
             ++disconnected)
            cr_assert_not(
                decoded(std::span(bytes).first(disconnected)).has_value());
    }
}

Test(peer_message, damaged_bytes_never_decode_to_another_length)
{
    std::mt19937_64 random(7);
    const auto bytes =
        encode({session_id(1), probe{1, session_id(2)}, {member_update{}}});
    for (int round = 0; round < 2000; ++round)
    {
        auto damaged = bytes;
        damaged[random() % damaged.size()] = std::byte(random() & 0xff);
        const auto back = decoded(damaged);
        if (back)
            cr_assert_eq(encode(*back).size(), damaged.size());
    }
}
