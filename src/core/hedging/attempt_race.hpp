#pragma once

#include <roseworks/instant.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace roseworks
{

/// One of the two attempts of a hedged request.
enum class race_side : std::uint8_t
{
    first,
    second
};

/** Decides which of two concurrent attempts of one request answers it.

    At most one attempt ever wins, and only the winner's bytes may reach the
    caller. An attempt that lost or was closed can't win afterwards, so an
   answer is never made of two attempts.

    Streams may run beside each other for a limited time only: the platform
    counts longer ones as two runs. Then the first attempt is closed, since the
    second one runs on a server that isn't known to be slow.
*/
class attempt_race
{
public:
    /// Longest time that both attempts of a stream run; the platform requires
    /// less than 400 ms.
    static constexpr duration max_stream_overlap =
        std::chrono::milliseconds(300);

    attempt_race(bool is_stream, instant second_sent_at);

    /// An attempt has its first output: a response head; of a stream, the first
    /// event.
    /// @return Whether it wins. If not, its output has to be dropped.
    bool output_began(race_side side, instant now);

    /// An attempt has ended without output.
    void ended(race_side side);

    /// To be called at `overlap_ends`.
    void tick(instant now);

    /// @return When the first attempt is closed if none has output by then.
    std::optional<instant> overlap_ends() const;

    /// @return Whether the connection of the attempt must be closed at once.
    bool must_close(race_side side) const
    {
        return this->state_of(side) == state::closed;
    }

    bool is_running(race_side side) const
    {
        return this->state_of(side) == state::running;
    }

    std::optional<race_side> winner() const;

    /// @return Whether no attempt can win any more.
    bool has_failed() const;

private:
    enum class state : std::uint8_t
    {
        running, ///< without output
        won,
        closed, ///< lost, or the overlap was over
        ended   ///< without output, by itself
    };

    state state_of(race_side side) const
    {
        return this->states[static_cast<std::size_t>(side)];
    }

    state& state_of(race_side side)
    {
        return this->states[static_cast<std::size_t>(side)];
    }

    std::optional<instant> overlap_end;
    std::array<state, 2> states{state::running, state::running};
};

} // namespace roseworks
