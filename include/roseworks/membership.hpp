#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace roseworks
{

/// A router's view of another router's liveness.
enum class liveness : std::uint8_t
{
    alive,
    suspect,
    dead
};

/// State change of one member. Sent with other datagrams a limited number of
/// times.
struct member_update
{
    session_id session;
    /// Increased by the member to refute a suspicion.
    std::uint32_t incarnation = 0;
    liveness state = liveness::alive;
};

/// Asks for an acknowledgement.
struct probe
{
    std::uint64_t sequence = 0;
    session_id target; ///< a later process at the same address doesn't answer
};

/// Asks the receiver to probe `target` on the sender's behalf.
struct indirect_probe
{
    std::uint64_t sequence = 0;
    session_id target;
};

/// Answers a probe; `sequence` is that of the probe.
struct probe_ack
{
    std::uint64_t sequence = 0;
    session_id target;
};

/// One datagram between routers. Contains at most `membership::max_updates`
/// updates, so its size doesn't grow with the number of routers.
struct peer_message
{
    session_id from;
    std::
        variant<probe, indirect_probe, probe_ack, servable_demand, caller_visit>
            body;
    std::vector<member_update> updates;
};

/** Encode a datagram's content.

    @param message The message.
    @return        Its bytes, at most 512.
*/
std::vector<std::byte> encode(const peer_message& message);

/** Decode a datagram's content.

    @param bytes The received bytes, after a check of their MAC.
    @return      The message, or a `codec_error`.
*/
boost::leaf::result<peer_message>
decode_peer_message(std::span<std::byte const> bytes);

/** Detects which routers are alive, by probing over UDP with a fixed fan-out.

    The list of members is decided state (sessions in the log); this class only
    determines which of them answer. In each interval one member is probed, in
    the order of a shuffled round. A member that doesn't answer is probed
    through `fanout` other members, then suspected, and after `suspect_after`
    considered dead. A suspected member that is alive refutes the suspicion with
    a higher incarnation. The number of datagrams per router and interval is
    constant, whatever the number of routers.

    A hint: no decision depends on it. Deterministic for a seed. Not
    thread-safe.
*/
class membership
{
public:
    struct options
    {
        duration probe_interval = std::chrono::seconds(1);
        duration ack_timeout = std::chrono::milliseconds(300);
        duration suspect_after = std::chrono::seconds(5);
        std::uint32_t fanout = 3; ///< members asked for an indirect probe
        std::uint64_t seed = 1;
    };

    /// A member as recorded in the log.
    struct member
    {
        session_id session;
        std::string address; ///< UDP ip:port
    };

    /// A datagram to send.
    struct outgoing
    {
        std::string address;
        peer_message message;
    };

    /// Maximum number of updates in one datagram.
    static constexpr std::size_t max_updates = 8;

    explicit membership(options settings);
    ~membership();
    membership(membership&&) noexcept;
    membership& operator=(membership&&) noexcept;

    /** Replace the list of members by the decided sessions.

        @param self    This router's session; 0 until its join is folded.
        @param members All sessions that haven't ended, in any order.
        @param now     The current time.
    */
    void members_changed(
        session_id self, std::span<const member> members, instant now);

    /// A datagram was received. `take_demands` returns a demand in it, and
    /// `take_visits` a visit.
    void received(const peer_message& message, instant now);

    /// Advances time: sends probes, and marks silent members as suspect or
    /// dead.
    void tick(instant now);

    /// Sends this router's demand to another router, with member updates in the
    /// same datagram.
    void send_demand(session_id to, const servable_demand& what);

    /// Sends a caller's visit to another router in the same way.
    void send_visit(session_id to, const caller_visit& what);

    /// @return The datagrams to send since the last call.
    std::vector<outgoing> take_outgoing();

    /// @return The demands received since the last call.
    std::vector<servable_demand> take_demands();

    /// @return The visits received since the last call.
    std::vector<caller_visit> take_visits();

    /// @return Whether the result of `alive` changed since the last call.
    bool take_changed();

    /// @return The sessions not considered dead, including this router's,
    ///         sorted.
    std::vector<session_id> alive() const;

    /// @return The liveness of a member; empty for a session that is no member.
    std::optional<liveness> state_of(session_id session) const;

    /// @return The time at which `tick` has work next.
    instant next_tick() const;

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace roseworks
