#include "app/credentials_reload.hpp"
#include "app/file_watch.hpp"

#include <boost/asio/io_context.hpp>

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

class counting_events : public event_sink
{
public:
    void emit(const event_record& event) noexcept override
    {
        this->refused += event.id == event_id::settings_refused ? 1 : 0;
    }

    int refused = 0;
};

} // namespace

Test(file_watch, a_new_credential_is_shown_and_a_bad_file_changes_nothing)
{
    const std::string file =
        (std::filesystem::temp_directory_path() /
         ("roseworks-credentials-" + std::to_string(getpid())))
            .string();
    boost::asio::io_context context;
    counting_events events;
    std::vector<std::string> shown;
    file_watch watch(
        context.get_executor(),
        watch_credentials(
            file,
            {},
            [&](const platform::credentials& read)
            {
                shown.emplace_back(read.find("e1"));
            },
            events));
    std::ofstream(file) << "e1 = first\n";
    watch.reload();
    watch.reload();
    cr_assert(shown == std::vector<std::string>{"first"});
    std::ofstream(file) << "e1 = second\n";
    watch.reload();
    cr_assert_eq(shown.back(), "second");
    std::remove(file.c_str());
    watch.reload();
    watch.reload();
    cr_assert_eq(shown.size(), 2U);
    cr_assert_eq(events.refused, 1);
    std::ofstream(file) << "e1 = third\n";
    watch.reload();
    cr_assert_eq(shown.back(), "third");
    std::remove(file.c_str());
}
