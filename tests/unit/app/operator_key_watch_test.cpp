#include "app/operator_key_watch.hpp"

#include <roseworks/record.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;

namespace
{

class moved_clock : public clock_port
{
public:
    instant now() const override
    {
        return this->time;
    }

    stamp_ms wall() const override
    {
        return 0;
    }

    instant time{std::chrono::seconds(1)};
};

class kept_events : public event_sink
{
public:
    void emit(const event_record& event) noexcept override
    {
        this->ids.push_back(event.id);
    }

    std::vector<event_id> ids;
};

operator_signing_key key_of(std::uint8_t number)
{
    const std::vector<std::byte> secret(operator_key_bytes, std::byte(number));
    return *operator_signing_key::make(number, secret);
}

void accept_key(fleet_state& state, std::uint8_t number, std::uint8_t signer)
{
    const operator_key key = key_of(number).public_key();
    operator_key_change change{"olga", number, {}, {}};
    change.key.assign(key.bytes.begin(), key.bytes.end());
    record value;
    value.id = {author_id(number), 1, 1};
    value.stamp = 1000;
    value.payload = change;
    cr_assert(key_of(signer).sign(value));
    const auto result =
        state.apply(log_offset(state.folded().value + 1), value);
    cr_assert(result.status == fold_status::accepted);
}

std::string line_of(std::uint8_t number)
{
    return std::to_string(number) + " = " +
           key_hex(key_of(number).public_key().bytes) + "\n";
}

} // namespace

Test(operator_key_watch, says_how_decided_and_expected_keys_differ)
{
    fleet_state state;
    const std::vector one{key_of(1).public_key()};
    cr_assert_neq(
        key_disagreement(state, one).find("unsigned changes count"),
        std::string::npos);
    cr_assert(key_disagreement(state, {}).empty());
    accept_key(state, 1, 1);
    cr_assert(key_disagreement(state, one).empty());
    // Listed ahead of a rotation.
    const std::vector both{key_of(1).public_key(), key_of(2).public_key()};
    cr_assert(key_disagreement(state, both).empty());
    accept_key(state, 2, 1);
    cr_assert_eq(
        key_disagreement(state, one), "key 2 is accepted, but not listed");
    operator_key other = key_of(3).public_key();
    other.number = 1;
    const std::vector wrong{other, key_of(2).public_key()};
    cr_assert_eq(
        key_disagreement(state, wrong), "key 1 is another than the one listed");
}

Test(operator_key_watch, alarms_once_and_reads_its_file_again)
{
    const std::string file =
        (std::filesystem::temp_directory_path() /
         ("roseworks-expected-" + std::to_string(getpid())))
            .string();
    moved_clock clock;
    kept_events events;
    fleet_state state;
    accept_key(state, 1, 1);
    accept_key(state, 2, 1);
    std::ofstream(file) << "[keys]\n" << line_of(1) << line_of(2);
    operator_key_watch watch(file, {key_of(1).public_key()}, clock, events);
    watch.look(state);
    watch.look(state);
    cr_assert(
        events.ids == std::vector<event_id>{event_id::operator_keys_differ});
    clock.time += operator_key_watch::reload_interval;
    watch.look(state);
    cr_assert(events.ids.back() == event_id::operator_keys_agree);
    std::ofstream(file) << "[keys]\n1 = rubbish\n";
    clock.time += operator_key_watch::reload_interval;
    watch.look(state);
    cr_assert(events.ids.back() == event_id::settings_refused);
    cr_assert_eq(events.ids.size(), 3U, "the keys read before stay");
    std::remove(file.c_str());
}
