#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks
{

/** Tracks which events of an event stream the caller has received, so that
    another run can continue the stream.

    A stream can be continued if its response head carries an `ETag` that
    identifies the generation (model, version, prompt and sampling), and if each
    event with data has an integer `id` one above the previous one. Another run
    continues it only if the tag is the same and the first id is the next one.
    Otherwise the caller could receive a mix of two generations, or an event
    could be missing or duplicated.
*/
class stream_position
{
public:
    /// Starts a run when its response head arrives.
    /// @param tag The `ETag` of the response; empty without one.
    /// @return    Whether the events of the run may be passed to the caller.
    bool begin_run(std::string_view tag);

    /// Checks an event with data before it is passed to the caller.
    /// @param id The event's id; empty without one.
    /// @return   False if the event can't follow those the caller has.
    bool accept(std::string_view id);

    /// @return Whether another run can continue the stream from here.
    bool resumable() const
    {
        return this->can_resume && this->last_accepted.has_value();
    }

    /// @return Whether the current run continues an earlier one.
    bool is_continuation() const
    {
        return this->runs > 1;
    }

    /// Marks the stream as not resumable.
    void disable_resume()
    {
        this->can_resume = false;
    }

    /// @return The id of the last event passed to the caller; 0 before the
    ///         first.
    std::uint64_t last_id() const
    {
        return this->last_accepted.value_or(0);
    }

    const std::string& tag() const
    {
        return this->run_tag;
    }

private:
    std::string run_tag;
    std::optional<std::uint64_t> last_accepted;
    std::uint32_t runs = 0;
    bool can_resume = false;
};

} // namespace roseworks
