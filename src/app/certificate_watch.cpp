#include "app/certificate_watch.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace roseworks::app
{

std::string_view setting_of(tls::certificate_error::role of)
{
    return of == tls::certificate_error::role::key ? "key_file"
                                                   : "certificate_file";
}

certificate_watch::certificate_watch(
    const boost::asio::any_io_executor& executor,
    std::unique_ptr<tls::server_certificate> certificate,
    event_sink& sink)
    : shown(std::move(certificate))
    , events(sink)
    , timer(executor)
{
}

void certificate_watch::start()
{
    if (this->shown)
        this->arm();
}

std::function<tls::context_ptr()> certificate_watch::source() const
{
    if (!this->shown)
        return {};
    return [certificate = this->shown.get()]
    {
        return certificate->current();
    };
}

void certificate_watch::arm()
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

void certificate_watch::reload()
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(replaced, this->shown->reload());
            if (!replaced)
                return {};
            this->last_problem.clear();
            this->events.report(event_id::certificate_reloaded, {});
            return {};
        },
        [&](const tls::certificate_error& error)
        {
            if (error.what == this->last_problem)
                return;
            this->last_problem = error.what;
            this->events.report(
                event_id::certificate_refused,
                {{"setting", setting_of(error.of)},
                 {"file", error.file},
                 {"reason", error.what}});
        },
        [] {});
}

} // namespace roseworks::app
