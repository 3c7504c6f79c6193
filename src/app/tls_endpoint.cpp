#include "app/tls_endpoint.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace roseworks::app
{

namespace leaf = boost::leaf;

using role = tls::certificate_error::role;

namespace
{

const std::string& file_of(const tls::certificate_files& files, role of)
{
    switch (of)
    {
    case role::key:
        return files.key;
    case role::trusted:
        return files.trusted;
    case role::certificate:
        break;
    }
    return files.certificate;
}

} // namespace

std::string_view setting_of(role of)
{
    switch (of)
    {
    case role::key:
        return "key_file";
    case role::trusted:
        return "ca_file";
    case role::certificate:
        break;
    }
    return "certificate_file";
}

tls_endpoint::tls_endpoint(
    const boost::asio::any_io_executor& executor,
    std::string_view of_section,
    std::unique_ptr<tls::context_source> contexts,
    event_sink& sink)
    : section(of_section)
    , source(std::move(contexts))
    , events(sink)
    , files(executor, this->make_handlers())
{
    if (!this->source)
        return;
    this->connector.emplace(
        *this->source,
        [this](const tls::handshake_failure& what)
        {
            this->handshake_failed(what);
        });
}

std::function<tls::context_ptr()> tls_endpoint::accepting() const
{
    if (!this->source)
        return {};
    return [contexts = this->source.get()]
    {
        return contexts->current();
    };
}

const tls::connector* tls_endpoint::connecting() const
{
    return this->connector ? &*this->connector : nullptr;
}

file_watch::handlers tls_endpoint::make_handlers()
{
    if (!this->source)
        return {};
    file_watch::handlers calls;
    calls.reload = [this]
    {
        return this->reload();
    };
    calls.replaced = [this]
    {
        this->events.report(
            event_id::certificate_reloaded, {{"section", this->section}});
    };
    calls.refused = [this](const file_problem& problem)
    {
        this->events.report(
            event_id::certificate_refused,
            {{"setting", problem.setting},
             {"file", problem.file},
             {"reason", problem.what}});
    };
    return calls;
}

leaf::result<bool> tls_endpoint::reload()
{
    return leaf::try_handle_some(
        [&]
        {
            return this->source->reload();
        },
        [&](const tls::certificate_error& error) -> leaf::result<bool>
        {
            return leaf::new_error(file_problem{
                this->section + "." + std::string(setting_of(error.file_role)),
                error.file,
                error.what});
        });
}

void tls_endpoint::handshake_failed(const tls::handshake_failure& what) const
{
    const std::string setting =
        what.file_role
            ? this->section + "." + std::string(setting_of(*what.file_role))
            : this->section;
    const std::string file =
        what.file_role ? file_of(this->source->file_paths(), *what.file_role)
                       : std::string();
    this->events.report(
        event_id::handshake_failed,
        {{"address", what.address},
         {"setting", setting},
         {"file", file},
         {"reason", what.reason}});
}

} // namespace roseworks::app
