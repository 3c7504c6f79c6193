#include "app/credentials_reload.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <memory>
#include <utility>

namespace roseworks::app
{

namespace leaf = boost::leaf;

namespace
{

leaf::result<platform::credentials> read(const std::string& file)
{
    using loaded = leaf::result<platform::credentials>;
    return leaf::try_handle_some(
        [&]() -> loaded
        {
            return platform::credentials::load(file);
        },
        [](const platform::credentials_error& problem) -> loaded
        {
            return leaf::new_error(file_problem{
                "engines.credentials_file", problem.file, problem.what});
        });
}

} // namespace

file_watch::handlers watch_credentials(
    std::string file,
    platform::credentials current,
    std::function<void(const platform::credentials&)> replaced,
    event_sink& events)
{
    if (file.empty())
        return {};
    const auto held =
        std::make_shared<platform::credentials>(std::move(current));
    file_watch::handlers calls;
    calls.reload = [file = std::move(file), held]() -> leaf::result<bool>
    {
        BOOST_LEAF_AUTO(found, read(file));
        if (found == *held)
            return false;
        *held = std::move(found);
        return true;
    };
    calls.replaced = [held, replaced = std::move(replaced)]
    {
        replaced(*held);
    };
    calls.refused = [&events](const file_problem& problem)
    {
        const std::string text = problem.file + ": " + problem.what;
        events.report(event_id::settings_refused, {{"reason", text}});
    };
    return calls;
}

} // namespace roseworks::app
