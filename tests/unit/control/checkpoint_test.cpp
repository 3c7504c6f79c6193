#include "fleet_fixture.hpp"

#include <roseworks/checkpoint.hpp>
#include <roseworks/codec.hpp>
#include <roseworks/rendezvous.hpp>

#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

/// A fleet that writes checkpoints often, and the chunks seen in its log.
struct checkpointing_fleet
{
    checkpointing_fleet()
        : fleet(often())
    {
        this->fleet.on_record = [this](const record& value, const fold_result&)
        {
            const auto* chunk = std::get_if<checkpoint_chunk>(&value.payload);
            if (chunk != nullptr)
            {
                this->chunks.push_back(*chunk);
            }
        };
        this->fleet.add_engine("e0", engine_of(20'000));
        this->fleet.add_model("kept", kept_model(2'000, 3));
        add_routers(this->fleet, 3);
        this->fleet.run(200s);
    }

    static controller::options often()
    {
        controller::options settings;
        settings.checkpoint_records = 20;
        settings.max_batch_bytes = 5'200; // several chunks a checkpoint
        return settings;
    }

    fake_fleet fleet;
    std::vector<checkpoint_chunk> chunks;
};

/// A fleet whose log keeps a limited number of records.
struct forgetful_fleet
{
    explicit forgetful_fleet(std::uint64_t interval)
        : fleet(with(interval))
    {
        this->fleet.on_record = [this](const record& value, const fold_result&)
        {
            ++this->end;
            if (const auto* chunk =
                    std::get_if<checkpoint_chunk>(&value.payload))
                this->chunk_read(*chunk, value.id.author);
            if (this->keeps != 0 && this->end > this->keeps)
                this->forget_before(this->end - this->keeps);
            this->worst_missing = std::max(
                this->worst_missing,
                this->first - std::min(this->first, this->newest + 1));
        };
        this->fleet.add_engine("e0", engine_of(20'000));
        this->fleet.add_model("kept", kept_model(2'000, 3));
        add_routers(this->fleet, 3);
    }

    static controller::options with(std::uint64_t interval)
    {
        controller::options settings;
        settings.checkpoint_records = interval;
        settings.max_batch_bytes = 5'200;
        return settings;
    }

    void forget_before(std::uint64_t offset)
    {
        this->first = offset;
        for (std::size_t i = 0; i < this->fleet.size(); ++i)
            if (this->fleet.at(i).alive)
                this->fleet.at(i).control->log_kept(log_offset(offset));
    }

    void chunk_read(const checkpoint_chunk& chunk, author_id author)
    {
        this->authors.push_back(author);
        if (this->kill_author)
            this->kill(author);
        if (!this->assembler.add(chunk))
            return;
        this->newest = chunk.at.value;
        this->taken.push_back(chunk.at.value);
    }

    void kill(author_id author)
    {
        this->kill_author = false;
        for (std::size_t i = 0; i < this->fleet.size(); ++i)
            if (author_of(this->fleet.at(i).name) == author)
                this->fleet.kill(i);
    }

    std::uint64_t end = 0;
    std::uint64_t keeps = 0; ///< records; 0: all
    std::uint64_t first = 1;
    std::uint64_t newest = 0;        ///< of the complete checkpoints
    std::uint64_t worst_missing = 0; ///< records needed that were forgotten
    bool kill_author = false;        ///< at its next chunk
    std::vector<std::uint64_t> taken;
    std::vector<author_id> authors; ///< of chunks
    checkpoint_assembler assembler;
    fake_fleet fleet;
};

std::vector<checkpoint> complete(const std::vector<checkpoint_chunk>& chunks)
{
    checkpoint_assembler assembler;
    std::vector<checkpoint> whole;
    for (const checkpoint_chunk& chunk : chunks)
    {
        if (std::optional<checkpoint> found = assembler.add(chunk))
        {
            whole.push_back(std::move(*found));
        }
    }
    return whole;
}

} // namespace

Test(checkpoint, written_often_by_one_router_each_and_restorable)
{
    checkpointing_fleet setting;
    const std::vector<checkpoint> found = complete(setting.chunks);
    cr_assert_geq(found.size(), 2);
    for (const checkpoint& item : found)
    {
        cr_expect_eq(item.at.value % 20, 0);
        const auto state = restore_checkpoint(item);
        cr_assert(static_cast<bool>(state));
        cr_expect_eq(state->hash(), item.state_hash);
    }
    for (std::size_t index = 0; index < setting.fleet.size(); ++index)
    {
        cr_expect(setting.fleet.at(index).alarms.empty());
    }
}

Test(checkpoint, one_that_disagrees_raises_an_alarm_at_every_router)
{
    checkpointing_fleet setting;
    checkpoint_chunk forged = setting.chunks.back();
    forged.state_hash ^= 1;
    forged.index = 0;
    forged.count = 1;
    record value;
    value.id = {author_id(77), 1, 1};
    value.payload = forged;
    setting.fleet.append(encode(value));
    setting.fleet.run(1s);
    for (std::size_t index = 0; index < setting.fleet.size(); ++index)
    {
        cr_assert_eq(setting.fleet.at(index).alarms.size(), 1);
        const divergence_alarm& alarm = setting.fleet.at(index).alarms[0];
        cr_expect(alarm.at == forged.at);
        cr_expect(alarm.author == author_id(77));
    }
}

Test(checkpoint, chunks_in_any_order_and_twice_give_it_once)
{
    checkpoint whole{log_offset(9), 5, std::vector<std::byte>(1000)};
    whole.bytes[999] = std::byte(7);
    std::vector<checkpoint_chunk> chunks = split_checkpoint(whole, 300);
    cr_assert_eq(chunks.size(), 4);
    std::reverse(chunks.begin(), chunks.end());
    chunks.push_back(chunks.front());
    chunks.insert(chunks.begin(), chunks.back());
    const std::vector<checkpoint> found = complete(chunks);
    cr_assert_eq(found.size(), 1);
    cr_expect(found[0].bytes == whole.bytes);
    cr_expect(found[0].at == whole.at);
}

Test(checkpoint, chunks_of_two_hashes_are_never_mixed)
{
    const std::vector<std::byte> bytes(600);
    std::vector<checkpoint_chunk> one =
        split_checkpoint({log_offset(9), 5, bytes}, 300);
    const std::vector<checkpoint_chunk> other =
        split_checkpoint({log_offset(9), 6, bytes}, 300);
    one[1] = other[1];
    cr_expect(complete(one).empty());
}

Test(checkpoint, damaged_ones_are_refused)
{
    fleet_state state;
    record join;
    join.id = {author_id(1), 1, 1};
    join.payload = router_join{"r", "dc", "127.0.0.1:1", "127.0.0.1:2"};
    state.apply(log_offset(1), join);
    const checkpoint whole = take_checkpoint(state);
    cr_expect(static_cast<bool>(restore_checkpoint(whole)));

    checkpoint other_offset = whole;
    other_offset.at = log_offset(2);
    cr_expect_not(static_cast<bool>(restore_checkpoint(other_offset)));
    checkpoint other_hash = whole;
    ++other_hash.state_hash;
    cr_expect_not(static_cast<bool>(restore_checkpoint(other_hash)));
    checkpoint cut = whole;
    cut.bytes.resize(cut.bytes.size() / 2);
    cr_expect_not(static_cast<bool>(restore_checkpoint(cut)));
}

Test(checkpoint, the_assembler_holds_no_more_than_its_limit)
{
    checkpoint_assembler assembler(1'000);
    checkpoint_chunk part;
    part.count = 2;
    part.data.resize(400);
    for (std::uint64_t at = 1; at <= 50; ++at)
    {
        part.at = log_offset(at);
        cr_expect_not(assembler.add(part).has_value());
    }
    part.index = 1;
    cr_expect(assembler.add(part).has_value(), "the newest is kept");
    part.at = log_offset(1);
    cr_expect_not(assembler.add(part).has_value(), "the oldest isn't");
}

Test(checkpoint, a_log_that_keeps_much_has_few)
{
    forgetful_fleet setting(20);
    setting.fleet.run(3h);
    cr_assert_geq(setting.end, 3'000);
    std::uint64_t widest = 0;
    for (std::size_t i = 1; i < setting.taken.size(); ++i)
        widest = std::max(widest, setting.taken[i] - setting.taken[i - 1]);
    cr_expect_geq(widest, 200);
    cr_expect_leq(widest, 220, "ten intervals at most");
    cr_expect_leq(setting.end - setting.newest, 220);
}

Test(checkpoint, a_short_horizon_never_passes_the_newest)
{
    forgetful_fleet setting(20);
    setting.keeps = 120;
    setting.fleet.run(2h);
    cr_assert_geq(setting.end, 2'000);
    cr_expect_eq(setting.worst_missing, 0);
}

Test(checkpoint, a_quiet_log_is_checkpointed_between_its_marks_by_number)
{
    forgetful_fleet setting(1'000'000);
    setting.keeps = 400;
    setting.fleet.run(2h);
    cr_assert_geq(setting.end, 2'000);
    cr_expect_eq(setting.worst_missing, 0);
}

Test(checkpoint, a_horizon_that_jumps_past_it_brings_another_at_once)
{
    forgetful_fleet setting(1'000'000);
    setting.fleet.run(3h);
    cr_assert_neq(setting.newest, 0);
    setting.forget_before(setting.newest + 2);
    const std::uint64_t needed = setting.first;
    cr_expect(setting.fleet.run_until(
        [&]
        {
            return setting.newest + 1 >= needed;
        },
        3min));
}

Test(checkpoint, an_author_that_dies_is_followed_by_another)
{
    forgetful_fleet setting(1'000'000);
    setting.fleet.run(3h);
    const std::uint64_t before = setting.newest;
    setting.kill_author = true;
    setting.forget_before(before + 2);
    cr_expect(setting.fleet.run_until(
        [&]
        {
            return setting.newest > before;
        },
        10min));
    cr_expect_not(setting.kill_author, "an author died in the middle");
}

Test(checkpoint, two_authors_of_one_are_no_alarm)
{
    checkpointing_fleet setting;
    const std::vector<checkpoint_chunk> twice = setting.chunks;
    std::uint64_t sequence = 0;
    for (const checkpoint_chunk& chunk : twice)
    {
        record value;
        value.id = {author_id(77), 1, ++sequence};
        value.payload = chunk;
        setting.fleet.append(encode(value));
    }
    setting.fleet.run(1s);
    for (std::size_t index = 0; index < setting.fleet.size(); ++index)
        cr_expect(setting.fleet.at(index).alarms.empty());
}
