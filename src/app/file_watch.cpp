#include "app/file_watch.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace roseworks::app
{

file_watch::file_watch(
    const boost::asio::any_io_executor& executor, handlers wanted)
    : calls(std::move(wanted))
    , timer(executor)
{
}

void file_watch::start()
{
    if (this->calls.reload)
        this->arm();
}

void file_watch::stop()
{
    this->timer.cancel();
}

void file_watch::arm()
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

void file_watch::reload()
{
    if (!this->calls.reload)
        return;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(replaced, this->calls.reload());
            this->told = {};
            if (replaced)
                this->calls.replaced();
            return {};
        },
        [&](const file_problem& problem)
        {
            if (problem == this->told)
                return;
            this->told = problem;
            this->calls.refused(problem);
        },
        [] {});
}

} // namespace roseworks::app
