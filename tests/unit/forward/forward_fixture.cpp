#include "forward_fixture.hpp"

#include "core/serving/server_software.hpp"
#include "platform/header_names.hpp"
#include "platform/prompt_parts.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <future>

namespace roseworks::forward::tests
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

path_route make_route(std::string prefix, request_kind kind, bool resumable)
{
    path_route route;
    route.name = prefix;
    route.host = "h.example";
    route.path_prefix = std::move(prefix);
    route.kind = kind;
    route.timeout = std::chrono::seconds(30);
    route.max_attempts = kind == request_kind::non_idempotent ? 1 : 2;
    route.resumable = resumable;
    route.services = {{"app", 1}};
    return route;
}

organisation make_organisation(std::string name, std::string_view key)
{
    organisation result;
    result.name = std::move(name);
    result.counts_tokens = true;
    result.default_tokens = 200;
    if (!key.empty())
        result.keys = {digest_of(key)};
    return result;
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
    const std::vector<std::string>& versions,
    std::optional<std::vector<organisation>> organisations = {})
{
    auto config = std::make_shared<deployment>();
    config->version = 1;
    config->routes = {
        make_route("/once/", request_kind::non_idempotent, false),
        make_route("/again/", request_kind::idempotent, false),
        make_route("/stream/", request_kind::streaming, false),
        make_route("/resume/", request_kind::streaming, true),
        make_route("/open/", request_kind::idempotent, false)};
    config->routes.back().allow_anonymous = true;
    path_route later = make_route("/later/", request_kind::idempotent, false);
    later.objective = std::chrono::seconds(8);
    later.rank = 2;
    config->routes.push_back(std::move(later));
    config->organisations = std::move(organisations);
    auto catalogue = std::make_shared<servable_catalogue>();
    catalogue->routes = std::make_shared<route_index>(config);
    catalogue->organisations = std::make_shared<organisation_index>(config);
    serving_table::parts result;
    result.catalogue = catalogue;
    service_routes& app = result.services["app"];
    app.name = "app";
    std::size_t number = 0;
    for (const fake_backend* backend : backends)
    {
        const software_version software = software_of(
            "app", number < versions.size() ? versions[number] : "v1");
        const std::string id = "i-" + std::to_string(++number);
        app.backends.push_back({backend->address(), id, "a"});
        result.servers[backend->address()] = {
            id, "app", "a", life_of(id, 1), software};
        result.services_by_software.try_emplace(software, "app");
    }
    return std::make_shared<const serving_table>(std::move(result));
}

/// Long enough for a busy machine: no verdict depends on it.
constexpr std::chrono::seconds generous_timeout{20};

edge::edge_options make_limits()
{
    edge::edge_options result;
    result.caller_idle = std::chrono::seconds(60);
    result.connect_timeout = generous_timeout;
    return result;
}

relay::relayed_opener::options make_opener_options()
{
    relay::relayed_opener::options result;
    result.direct_timeout = generous_timeout;
    result.relay_timeout = generous_timeout;
    return result;
}

relay::relay_server::options make_relay_options()
{
    relay::relay_server::options result;
    result.request_timeout = generous_timeout;
    return result;
}

} // namespace

forward_fixture::forward_fixture(
    std::vector<fake_backend*> backends,
    std::vector<std::string> software_versions,
    forward_options options)
    : forward_counters(this->registry)
    , event_loop(1)
    , loop_guard(this->event_loop.get_executor())
    , servers(std::move(backends))
    , versions(std::move(software_versions))
    , table(make_table(this->servers, this->versions))
    , dispatch(edge::shared_dispatcher::make(
          dispatcher(dispatcher::options{.affinity = prefix_affinity::none}),
          this->event_loop.get_executor(),
          this->clock,
          {[](const demand&) {},
           [](const crash_seen&) {},
           [this](const permit_wanted& what)
           {
               ++this->permits_requested;
               if (this->permits_withheld)
                   return;
               asio::post(
                   this->event_loop,
                   [this, what]
                   {
                       this->dispatch->permit_refused(
                           what.server, std::chrono::hours(1));
                   });
           }}))
    , opener(
          make_opener_options(), this->direct, this->clock, this->sink, [] {})
    , context(this->make_context(options))
    , server(this->event_loop.get_executor(), this->context, make_limits())
    , notices(this->context)
    , relays(
          this->event_loop.get_executor(),
          make_relay_options(),
          this->context,
          this->opener,
          [this]
          {
              return this->newest_table();
          },
          this->notices)
{
    this->dispatch->table_changed(this->table);
    const auto loopback = asio::ip::make_address("127.0.0.1");
    this->relays.set_routers({loopback});
    auto failed = this->server.listen({loopback, 0});
    if (!failed)
        failed = this->relays.listen({loopback, 0});
    if (failed)
        throw boost::system::system_error(failed);
    this->thread = std::thread(
        [this]
        {
            this->event_loop.run();
        });
}

forward_fixture::~forward_fixture()
{
    asio::post(
        this->event_loop,
        [this]
        {
            this->server.force_end();
            this->server.stop();
            this->relays.stop();
            this->event_loop.stop();
        });
    this->thread.join();
    this->dispatch->stop();
}

forward_context forward_fixture::make_context(const forward_options& options)
{
    const edge::backend_context base_context(
        make_limits(),
        this->clock,
        this->sink,
        this->forward_counters,
        nullptr);
    const auto ignore = [](const std::string&, const std::string&) {};
    forward_dependencies dependencies{
        *this->dispatch,
        this->limits,
        this->crashes,
        this->origins,
        this->opener,
        [this]
        {
            return this->newest_table();
        },
        [](const load_report&) {},
        ignore,
        ignore,
        ignore,
        [this](const std::string& server)
        {
            const std::lock_guard lock(this->mutex);
            this->unreachable_servers.push_back(server);
        },
        [this](
            const server_identity& server, const server_notice& notice, instant)
        {
            this->record_rate_limit(server.instance, notice.rate_limit);
        },
        [this]
        {
            return this->is_outdated.load();
        }};
    return {
        base_context,
        options,
        users_platform::make_header_names(),
        std::move(dependencies),
        this->forward_counters};
}

serving_table_ptr forward_fixture::newest_table()
{
    const std::lock_guard lock(this->mutex);
    return this->table;
}

void forward_fixture::record_rate_limit(
    const std::string& server, std::optional<double> requests_per_second)
{
    const std::lock_guard lock(this->mutex);
    this->rate_limit_reports.push_back({server, requests_per_second});
    for (std::size_t i = 0; i < this->servers.size(); ++i)
    {
        if (server == "i-" + std::to_string(i + 1))
            this->dispatch->server_limited(
                {{}, this->servers[i]->address()},
                requests_per_second.value_or(0));
    }
}

std::vector<forward_fixture::rate_limit_report>
forward_fixture::reported_rate_limits()
{
    const std::lock_guard lock(this->mutex);
    return this->rate_limit_reports;
}

std::vector<std::string> forward_fixture::failed_connects()
{
    const std::lock_guard lock(this->mutex);
    return this->unreachable_servers;
}

void fake_quota_port::draw(quota_request request, handler on_decision)
{
    quota_decision result;
    {
        const std::lock_guard lock(this->mutex);
        this->recorded_requests.push_back(std::move(request));
        result = this->decision;
    }
    this->before_decision();
    on_decision(result);
}

void fake_quota_port::count_request(std::string service)
{
    const std::lock_guard lock(this->mutex);
    this->counted_services.push_back(std::move(service));
}

void fake_quota_port::refund(std::string, double amount)
{
    const std::lock_guard lock(this->mutex);
    this->returned_amount += amount;
}

void forward_fixture::use_organisations()
{
    const std::lock_guard lock(this->mutex);
    this->table = make_table(
        this->servers, this->versions, make_organisations("key-one"));
}

void forward_fixture::revoke_first_key()
{
    const std::lock_guard lock(this->mutex);
    this->table =
        make_table(this->servers, this->versions, make_organisations({}));
}

void forward_fixture::block_request(
    std::string_view method, std::string_view target, duration length)
{
    forward_request request;
    request.method = method;
    request.target = target;
    const fingerprint content = request.content_fingerprint();
    const std::lock_guard lock(this->crashes.mutex);
    this->crashes.content.suspects.insert(content);
    this->crashes.content.blocked_until[content] = this->clock.now() + length;
}

void forward_fixture::block_part(std::string_view list, duration length)
{
    const fingerprint part =
        users_platform::parse_shared_prompt_parts(list).front();
    const std::lock_guard lock(this->crashes.mutex);
    this->crashes.content.suspects.insert(part);
    this->crashes.content.blocked_until[part] = this->clock.now() + length;
}

void forward_fixture::limit_server(std::size_t index)
{
    this->dispatch->server_limited({{}, this->servers[index]->address()}, 1);
}

void forward_fixture::know_routers(
    const std::vector<const forward_fixture*>& others)
{
    std::vector<relay_router> known;
    for (const forward_fixture* other : others)
    {
        const std::string address =
            "127.0.0.1:" + std::to_string(other->relay_endpoint().port());
        known.push_back({address, address, "a"});
    }
    this->run_on_loop(
        [&]
        {
            this->opener.set_routers(std::move(known));
        });
}

std::size_t forward_fixture::relayed_connections()
{
    std::size_t count = 0;
    this->run_on_loop(
        [&]
        {
            count = this->relays.connections();
        });
    return count;
}

void forward_fixture::stop_sending()
{
    this->run_on_loop(
        [this]
        {
            this->server.stop_sending();
        });
}

void forward_fixture::start_drain()
{
    this->run_on_loop(
        [&]
        {
            this->relays.start_drain();
        });
}

void forward_fixture::run_on_loop(const std::function<void()>& action)
{
    std::promise<void> done;
    asio::post(
        this->event_loop,
        [&]
        {
            action();
            done.set_value();
        });
    done.get_future().wait();
}

void forward_fixture::refuse_blocked()
{
    asio::post(
        this->event_loop,
        [this]
        {
            this->server.refuse_blocked();
        });
}

fake_origin_port::fake_origin_port()
    : answer{software_of("app", "v1"), origin_source::only_version, {}}
{
}

void fake_origin_port::began(stream_key stream, software_version software)
{
    const std::lock_guard lock(this->mutex);
    this->begun.emplace_back(stream, software);
}

void fake_origin_port::find(origin_question question, handler on_answer)
{
    const std::lock_guard lock(this->mutex);
    this->questions.push_back(std::move(question));
    on_answer(this->answer);
}

blocked_requests_ptr fake_crash_port::blocked() const
{
    const std::lock_guard lock(this->mutex);
    return std::make_shared<const blocked_requests>(this->content);
}

void fake_crash_port::run_broken(const broken_run_report& run)
{
    const std::lock_guard lock(this->mutex);
    this->broken_runs.push_back(run);
}

void fake_crash_port::server_replaced(server_life life)
{
    const std::lock_guard lock(this->mutex);
    this->replaced_servers.push_back(life);
}

void fake_crash_port::run_answered(fingerprint request)
{
    const std::lock_guard lock(this->mutex);
    this->answered_requests.push_back(request);
}

std::size_t fake_crash_port::answered_count() const
{
    const std::lock_guard lock(this->mutex);
    return this->answered_requests.size();
}

void fake_crash_port::parts_answered(std::vector<prompt_part> parts, instant)
{
    const std::lock_guard lock(this->mutex);
    this->answered_parts.insert(
        this->answered_parts.end(), parts.begin(), parts.end());
}

void fake_crash_port::trial_started(fingerprint request)
{
    const std::lock_guard lock(this->mutex);
    this->trials.push_back(request);
}

void forward_fixture::clear_table()
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
    boost::system::error_code ignored;
    return this->exchange(bytes, ignored);
}

std::string forward_fixture::exchange(
    std::string_view bytes, boost::system::error_code& ended)
{
    tcp::socket socket = this->connect();
    // A router that closes the connection unread may do so before the write.
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()), ended);
    std::string response;
    if (!ended)
        asio::read(socket, asio::dynamic_buffer(response), ended);
    return response;
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

void forward_fixture::disconnect_during_response(std::string_view bytes)
{
    tcp::socket socket = this->connect();
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
    std::array<char, 1> byte{};
    asio::read(socket, asio::buffer(byte));
}

void forward_fixture::disconnect_during_quota_wait(std::string_view bytes)
{
    tcp::socket socket = this->connect();
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
    const auto quota_requested = [this]
    {
        const std::lock_guard lock(this->limits.mutex);
        return !this->limits.recorded_requests.empty();
    };
    while (!quota_requested())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void forward_fixture::disconnect_when(
    std::string_view bytes, const std::function<bool()>& condition)
{
    tcp::socket socket = this->connect();
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
    while (!condition())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

} // namespace roseworks::forward::tests
