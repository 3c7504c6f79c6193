#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks
{

/** What of an event stream its caller has, so that another run can go on.

    A run can be continued when its head carries an `ETag`, which names the
    generation (model, version, prompt and sampling), and each of its events
    with data an `id` that is a whole number, one above the one before. A run
    is joined to it only under the same tag, and only with the very next id:
    else the pieces could be of two generations, or an event be missing or
    doubled.
*/
class stream_position
{
public:
    /// A run's head has come. Called for the first and for each later run.
    /// @return Whether its events may be passed on.
    bool begin(std::string_view tag);

    /// An event with data has come; it is passed on if accepted.
    /// @param id the event's id, empty without one.
    /// @return   false when it can't follow what the caller has.
    bool accept(std::string_view id);

    /// @return Whether another run can go on from here.
    bool resumable() const
    {
        return this->can_resume && this->last.has_value();
    }

    /// Whether a run is being joined to an earlier one.
    bool joining() const
    {
        return this->runs > 1;
    }

    /// It can't be gone on with.
    void give_up()
    {
        this->can_resume = false;
    }

    /// @return The last event's id that the caller has; 0 before the first.
    std::uint64_t last_id() const
    {
        return this->last.value_or(0);
    }

    const std::string& tag() const
    {
        return this->run_tag;
    }

private:
    std::string run_tag;
    std::optional<std::uint64_t> last;
    std::uint32_t runs = 0;
    bool can_resume = false;
};

} // namespace roseworks
