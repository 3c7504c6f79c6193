#include "app/credentials_watch.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <string>
#include <utility>

namespace roseworks::app
{

credentials_watch::credentials_watch(
    const boost::asio::any_io_executor& executor,
    std::string path,
    platform::credentials first,
    std::function<void(const platform::credentials&)> on_replaced,
    event_sink& sink)
    : file(std::move(path))
    , current(std::move(first))
    , replaced(std::move(on_replaced))
    , events(sink)
    , timer(executor)
{
}

void credentials_watch::start()
{
    if (!this->file.empty())
        this->arm();
}

void credentials_watch::arm()
{
    this->timer.expires_after(reload_interval);
    this->timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (cancelled)
                return;
            this->reload();
            this->arm();
        });
}

void credentials_watch::reload()
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(read, platform::credentials::load(this->file));
            this->refused = false;
            if (read == this->current)
                return {};
            this->current = std::move(read);
            this->replaced(this->current);
            return {};
        },
        [&](const platform::credentials_problem& problem)
        {
            const std::string text = problem.file + ": " + problem.what;
            if (!this->refused)
                this->events.report(
                    event_id::settings_refused, {{"reason", text}});
            this->refused = true;
        },
        [] {});
}

} // namespace roseworks::app
