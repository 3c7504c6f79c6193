#include <roseworks/fleet_state.hpp>
#include <roseworks/plan.hpp>
#include <roseworks/record_text.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

/// Feeds any text to the parser of records. Aborts when it is refused without
/// a reason, or when what was read changes on its way through `print_records`.

namespace
{

namespace leaf = boost::leaf;
using namespace roseworks;

void check_round(const desired_fleet& fleet)
{
    const std::string printed = print_records(fleet);
    const auto again = parse_records(printed);
    if (!again || print_records(*again) != printed)
        std::abort();
    (void)make_plan(fleet_state{}, fleet, plan_options{});
}

} // namespace

extern "C" int
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's own name
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(fleet, parse_records(text));
            check_round(fleet);
            return {};
        },
        [](const text_problems& problems)
        {
            if (problems.all.empty())
                std::abort();
            for (const text_problem& problem : problems.all)
                (void)to_string(problem);
        },
        []
        {
            std::abort();
        });
    return 0;
}
