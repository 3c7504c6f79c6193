#include "forward_fixture.hpp"

#include "platform/dialect.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace roseworks::forward::tests
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

path_route make_route(std::string prefix, repetition kind, bool resumable)
{
    path_route route;
    route.name = prefix;
    route.host = "h.example";
    route.path_prefix = std::move(prefix);
    route.kind = kind;
    route.timeout = std::chrono::seconds(30);
    route.max_attempts = kind == repetition::non_idempotent ? 1 : 2;
    route.resumable = resumable;
    route.services = {{"app", 1}};
    return route;
}

organisation make_organisation(std::string name, std::string_view key)
{
    organisation made;
    made.name = std::move(name);
    made.counts_tokens = true;
    made.plain_tokens = 200;
    if (!key.empty())
        made.keys = {digest_of(key)};
    return made;
}

std::vector<organisation> make_organisations(std::string_view first_key)
{
    organisation one = make_organisation("o1", first_key);
    one.limit = usage_limit{1000, 1000};
    organisation two = make_organisation("o2", "key-two");
    two.rank = 1;
    return {one, two};
}

serving_table_ptr make_table(
    const std::vector<fake_backend*>& backends,
    std::optional<std::vector<organisation>> organisations = {})
{
    auto config = std::make_shared<deployment>();
    config->version = 1;
    config->routes = {
        make_route("/once/", repetition::non_idempotent, false),
        make_route("/again/", repetition::idempotent, false),
        make_route("/stream/", repetition::streaming, false),
        make_route("/resume/", repetition::streaming, true),
        make_route("/open/", repetition::idempotent, false)};
    config->routes.back().keyless = true;
    config->organisations = std::move(organisations);
    auto catalogue = std::make_shared<servable_catalogue>();
    catalogue->routes = std::make_shared<route_index>(config);
    catalogue->organisations = std::make_shared<organisation_index>(config);
    serving_table::parts made;
    made.catalogue = catalogue;
    service_routes& app = made.services["app"];
    app.name = "app";
    int number = 0;
    for (const fake_backend* backend : backends)
    {
        const std::string id = "i-" + std::to_string(++number);
        app.backends.push_back({backend->address(), id, "a"});
        made.servers[backend->address()] = {id, "app", "a"};
    }
    return std::make_shared<const serving_table>(std::move(made));
}

edge::edge_options make_limits()
{
    edge::edge_options made;
    made.caller_idle = std::chrono::seconds(60);
    return made;
}

} // namespace

forward_fixture::forward_fixture(std::vector<fake_backend*> backends)
    : counts(this->registry)
    , loop(1)
    , work(this->loop.get_executor())
    , servers(std::move(backends))
    , table(make_table(this->servers))
    , dispatch(edge::shared_dispatcher::make(
          dispatcher(dispatcher::options{.affinity = prefix_affinity::none}),
          this->loop.get_executor(),
          this->clock,
          {[](const demand&) {},
           [](const crash_seen&) {},
           [this](const permit_wanted& what)
           {
               asio::post(
                   this->loop,
                   [this, what]
                   {
                       this->dispatch->permit_refused(
                           what.server, std::chrono::hours(1));
                   });
           }}))
    , context(this->make_context())
    , server(this->loop.get_executor(), this->context, make_limits())
{
    this->dispatch->table_changed(this->table);
    const auto failed =
        this->server.listen({asio::ip::make_address("127.0.0.1"), 0});
    if (failed)
        throw boost::system::system_error(failed);
    this->thread = std::thread(
        [this]
        {
            this->loop.run();
        });
}

forward_fixture::~forward_fixture()
{
    asio::post(
        this->loop,
        [this]
        {
            this->server.force_end();
            this->server.stop();
            this->loop.stop();
        });
    this->thread.join();
    this->dispatch->stop();
}

forward_context forward_fixture::make_context()
{
    const edge::backend_context surroundings(
        make_limits(), this->clock, this->sink, this->counts, nullptr);
    const auto nothing = [](const std::string&, const std::string&) {};
    forward_dependencies ports{
        *this->dispatch,
        this->limits,
        [this]
        {
            const std::lock_guard lock(this->mutex);
            return this->table;
        },
        []
        {
            return std::size_t(1);
        },
        [](const load_report&) {},
        nothing,
        nothing,
        nothing,
        [this](const std::string& server)
        {
            const std::lock_guard lock(this->mutex);
            this->unreached_servers.push_back(server);
        },
        [](const std::string&, fingerprint) {},
        [this](const std::string& server, std::optional<double> named, instant)
        {
            this->limit_named(server, named);
        },
        [this]
        {
            return this->is_behind.load();
        }};
    return {
        surroundings,
        forward_options(),
        users_platform::make_dialect(),
        std::move(ports),
        this->counts};
}

void forward_fixture::limit_named(
    const std::string& server, std::optional<double> named)
{
    const std::lock_guard lock(this->mutex);
    this->named_limits.push_back({server, named});
    for (std::size_t i = 0; i < this->servers.size(); ++i)
    {
        if (server == "i-" + std::to_string(i + 1))
            this->dispatch->server_limited(
                {{}, this->servers[i]->address()}, named.value_or(0));
    }
}

std::vector<forward_fixture::server_word> forward_fixture::limits_named()
{
    const std::lock_guard lock(this->mutex);
    return this->named_limits;
}

std::vector<std::string> forward_fixture::unreached()
{
    const std::lock_guard lock(this->mutex);
    return this->unreached_servers;
}

void fake_limits::draw(quota_request request, handler told)
{
    quota_decision made;
    {
        const std::lock_guard lock(this->mutex);
        this->asked.push_back(std::move(request));
        made = this->next;
    }
    told(made);
}

void fake_limits::refund(std::string, double amount)
{
    const std::lock_guard lock(this->mutex);
    this->returned += amount;
}

void forward_fixture::with_organisations()
{
    const std::lock_guard lock(this->mutex);
    this->table = make_table(this->servers, make_organisations("key-one"));
}

void forward_fixture::drop_first_key()
{
    const std::lock_guard lock(this->mutex);
    this->table = make_table(this->servers, make_organisations({}));
}

void forward_fixture::without_table()
{
    const std::lock_guard lock(this->mutex);
    this->table = nullptr;
}

tcp::socket forward_fixture::connect()
{
    static asio::io_context callers;
    tcp::socket socket(callers);
    socket.connect(this->server.local_endpoint());
    return socket;
}

std::string forward_fixture::exchange(std::string_view bytes)
{
    tcp::socket socket = this->connect();
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
    std::string answer;
    boost::system::error_code ended;
    asio::read(socket, asio::dynamic_buffer(answer), ended);
    return answer;
}

std::string forward_fixture::request(
    std::string_view method, std::string_view target, std::string_view headers)
{
    std::string text(method);
    text += ' ';
    text += target;
    text += " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 9c41\r\n"
            "Deadline-Ms: 30000\r\nConnection: close\r\n";
    text += headers;
    text += "\r\n";
    return text;
}

void forward_fixture::leave(std::string_view bytes)
{
    tcp::socket socket = this->connect();
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
    std::array<char, 1> byte{};
    asio::read(socket, asio::buffer(byte));
}

void forward_fixture::depart(std::string_view bytes)
{
    tcp::socket socket = this->connect();
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
    const auto has_asked = [this]
    {
        const std::lock_guard lock(this->limits.mutex);
        return !this->limits.asked.empty();
    };
    while (!has_asked())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

} // namespace roseworks::forward::tests
