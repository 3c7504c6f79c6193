#include "fake_store.hpp"
#include "platform/store_crash_archive.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::users_platform;
using roseworks::users_platform::tests::fake_store;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

archived_block block_of(std::uint64_t subject)
{
    archived_block block;
    block.subject = subject;
    block.written_at = 1'700'000'000'000;
    block.part_crashes.resize(3);
    block.part_crashes[1].life = 7;
    return block;
}

/// Uses an archive of a new run of the router until all calls have ended.
void use_archive(
    fake_store& store, const std::function<void(store_crash_archive&)>& use)
{
    asio::io_context loop;
    platform::byte_meter meter;
    store_crash_archive::options settings;
    settings.server = *platform::parse_endpoint(store.address());
    settings.router = "edge-1";
    settings.retry_delay = 1ms;
    settings.max_retry_delay = 1ms;
    store_crash_archive archive(loop, settings, meter);
    use(archive);
    loop.run_for(2s);
}

std::vector<archived_block> read_archive(fake_store& store)
{
    std::vector<archived_block> found;
    use_archive(
        store,
        [&found](store_crash_archive& archive)
        {
            archive.read(
                [&found](std::vector<archived_block> all)
                {
                    found = std::move(all);
                });
        });
    return found;
}

} // namespace

Test(store_crash_archive, what_one_run_writes_the_next_one_reads)
{
    fake_store store;
    use_archive(
        store,
        [](store_crash_archive& archive)
        {
            archive.write(block_of(5));
        });
    const std::vector<archived_block> found = read_archive(store);
    cr_assert_eq(found.size(), 1);
    cr_assert_eq(found[0].subject, 5);
    cr_assert_eq(found[0].written_at, 1'700'000'000'000);
    cr_assert_eq(found[0].part_crashes.at(1).life, 7);
}

Test(store_crash_archive, a_write_without_an_answer_is_repeated)
{
    fake_store store;
    store.drop_answers(1);
    use_archive(
        store,
        [](store_crash_archive& archive)
        {
            archive.write(block_of(5));
            archive.write(block_of(6));
        });
    const std::vector<std::string> calls = store.history();
    cr_assert_eq(calls.size(), 3);
    cr_assert_eq(calls[1], "repeat");
    cr_assert_eq(read_archive(store).size(), 2);
}

Test(store_crash_archive, a_record_in_another_form_is_left_out)
{
    fake_store store;
    store.put("0000000000000005", "{}");
    cr_assert(read_archive(store).empty());
}

Test(store_crash_archive, a_removed_block_is_gone)
{
    fake_store store;
    use_archive(
        store,
        [](store_crash_archive& archive)
        {
            archive.write(block_of(5));
            archive.remove(5);
            archive.write(block_of(6));
            archive.remove(6);
        });
    cr_assert(read_archive(store).empty());
}
