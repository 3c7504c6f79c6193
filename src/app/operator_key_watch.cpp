#include "app/operator_key_watch.hpp"

#include "adapters/settings/operator_key_file.hpp"
#include "adapters/settings/settings_problems.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace roseworks::app
{

namespace
{

void add_problem(std::string& text, std::uint8_t number, const char* what)
{
    if (!text.empty())
        text += "; ";
    text += "key " + std::to_string(number) + ' ' + what;
}

} // namespace

std::string key_disagreement(
    const fleet_state& state, std::span<const operator_key> expected)
{
    std::string problems;
    bool any = false;
    state.for_each_operator_key(
        [&](const operator_key_view& decided)
        {
            any = true;
            const std::uint8_t number = decided.key.number;
            const auto listed =
                std::ranges::find(expected, number, &operator_key::number);
            const bool is_listed = listed != expected.end();
            if (decided.retired)
            {
                if (is_listed)
                    add_problem(problems, number, "is listed, but retired");
            }
            else if (!is_listed)
                add_problem(problems, number, "is accepted, but not listed");
            else if (*listed != decided.key)
                add_problem(problems, number, "is another than the one listed");
        });
    if (!any && !expected.empty())
        return "no key is accepted: unsigned changes count";
    return problems;
}

operator_key_watch::operator_key_watch(
    std::string path,
    std::vector<operator_key> listed,
    const clock_port& time,
    event_sink& sink)
    : file(std::move(path))
    , expected(std::move(listed))
    , clock(time)
    , events(sink)
    , next_reload(time.now() + reload_interval)
{
}

void operator_key_watch::look(const fleet_state& state)
{
    if (this->expected.empty())
        return;
    this->reload();
    std::string found = key_disagreement(state, this->expected);
    if (found == this->alarmed)
        return;
    this->alarmed = std::move(found);
    if (this->alarmed.empty())
        this->events.report(event_id::operator_keys_agree, {});
    else
        this->events.report(
            event_id::operator_keys_differ, {{"problem", this->alarmed}});
}

void operator_key_watch::read_at_next_look()
{
    this->next_reload = this->clock.now();
}

void operator_key_watch::reload()
{
    if (this->clock.now() < this->next_reload)
        return;
    this->next_reload = this->clock.now() + reload_interval;
    std::vector<operator_key> listed = this->read();
    // A file that can't be used leaves what was listed.
    if (!listed.empty())
        this->expected = std::move(listed);
}

std::vector<operator_key> operator_key_watch::read()
{
    return boost::leaf::try_handle_all(
        [&]
        {
            return settings::load_operator_keys(this->file);
        },
        [&](const settings::settings_problems& problems)
        {
            const std::string text = (std::ostringstream() << problems).str();
            this->events.report(event_id::settings_refused, {{"reason", text}});
            return std::vector<operator_key>();
        },
        []
        {
            return std::vector<operator_key>();
        });
}

} // namespace roseworks::app
