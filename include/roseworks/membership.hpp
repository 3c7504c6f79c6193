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

/// What a router thinks of another's liveness.
enum class liveness : std::uint8_t
{
    alive,
    suspect,
    dead
};

/// News of one member, carried on probes until it has been sent often enough.
struct member_update
{
    session_id session;
    std::uint32_t incarnation = 0; ///< raised by the member to refute
    liveness state = liveness::alive;
};

/// Asks for an acknowledgement.
struct probe
{
    std::uint64_t sequence = 0;
    session_id target; ///< a late process at the address doesn't answer
};

/// Asks the receiver to probe `target` on the sender's behalf.
struct indirect_probe
{
    std::uint64_t sequence = 0;
    session_id target;
};

/// Answers a probe; `sequence` is the prober's.
struct probe_ack
{
    std::uint64_t sequence = 0;
    session_id target;
};

/// One datagram between routers. At most `membership::max_updates` updates, so
/// that its size doesn't grow with the fleet.
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

    @param bytes What was received, after its MAC was checked.
    @return      The message, or a `codec_error`.
*/
boost::leaf::result<peer_message>
decode_peer_message(std::span<std::byte const> bytes);

/** Which routers are alive, by fixed fan-out probing over UDP.

    The list of members is decided state (sessions in the log); this only adds
    who answers. Each interval one member of a shuffled round is probed; one
    that doesn't answer is probed through `fanout` others, then suspected, and
    after `suspect_after` taken for dead. A suspected member that lives refutes
    with a higher incarnation. Costs a constant number of datagrams per router
    and interval, however many routers there are.

    Hint only: nothing is decided by it. Deterministic for a seed; not
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
        std::uint32_t fanout = 3; ///< helpers asked for an indirect probe
        std::uint64_t seed = 1;
    };

    /// A member as the log has it.
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

    /// Most updates on one datagram.
    static constexpr std::size_t max_updates = 8;

    explicit membership(options settings);
    ~membership();
    membership(membership&&) noexcept;
    membership& operator=(membership&&) noexcept;

    /** Take over the decided list of sessions.

        @param self    This router's session; 0 until its join is folded.
        @param members All sessions that haven't ended, in any order.
        @param now     The time.
    */
    void members_changed(
        session_id self, std::span<const member> members, instant now);

    /// A datagram came. A demand in it is left in `take_demands`, a visit in
    /// `take_visits`.
    void received(const peer_message& message, instant now);

    /// Time passes: probes, suspects, gives up.
    void tick(instant now);

    /// Send another router this router's demand, with news on the same
    /// datagram.
    void send_demand(session_id to, const servable_demand& what);

    /// Tell another router of a caller's visit, likewise.
    void send_visit(session_id to, const caller_visit& what);

    /// Datagrams to send since the last call.
    std::vector<outgoing> take_outgoing();

    /// Demands heard since the last call.
    std::vector<servable_demand> take_demands();

    /// Visits heard of since the last call.
    std::vector<caller_visit> take_visits();

    /// @return Whether the set of `alive` changed since this was last asked.
    bool take_changed();

    /// @return Sessions not thought dead, this router's among them, sorted.
    std::vector<session_id> alive() const;

    /// @return What is thought of a member; empty for a stranger.
    std::optional<liveness> state_of(session_id session) const;

    /// @return When `tick` has work next.
    instant next_tick() const;

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace roseworks
