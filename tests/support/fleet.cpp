#include "tests/support/fleet.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <atomic>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace roseworks::test
{

namespace
{

namespace json = boost::json;

constexpr auto poll_limit = std::chrono::seconds(60);
constexpr auto poll_interval = std::chrono::milliseconds(20);

std::filesystem::path make_folder()
{
    static std::atomic<int> count{0};
    const auto path = std::filesystem::temp_directory_path() /
                      ("roseworks-test-" + std::to_string(getpid()) + "-" +
                       std::to_string(++count));
    std::filesystem::create_directories(path);
    return path;
}

std::string file_text(const std::filesystem::path& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

json::object
vm_object(const std::string& name, const std::string& address, const char* role)
{
    return {
        {"vm", name},
        {"address", address},
        {"role", role},
        {"state", "live"},
        {"data_centre", "dc-a"}};
}

} // namespace

bool eventually(const std::function<bool()>& holds)
{
    const auto end = std::chrono::steady_clock::now() + poll_limit;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

const std::string& fleet::server::reached_at() const
{
    if (this->proxy)
        return this->proxy_address;
    return this->secured.empty() ? this->address : this->secured;
}

fleet::fleet(fleet_setup setup)
    : setup(std::move(setup))
    , folder(make_folder())
{
    this->start_standins();
    for (std::size_t i = 0; i < this->setup.routers; ++i)
        this->start_router();
}

fleet::~fleet()
{
    this->router_processes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

fleet::server fleet::start_server(
    std::string_view program, std::vector<std::string> args, bool proxied)
{
    args.insert(args.end(), {"--listen", "127.0.0.1:0"});
    args.insert(
        args.end(),
        this->setup.standin_tls.begin(),
        this->setup.standin_tls.end());
    server result;
    result.process = std::make_unique<child_process>(program, std::move(args));
    this->read_addresses(result);
    if (!proxied)
        return result;
    result.proxy = std::make_unique<child_process>(
        "standin-proxy",
        std::vector<std::string>{
            "--listen",
            "127.0.0.1:0",
            "--control",
            "127.0.0.1:0",
            "--target",
            result.reached_at()});
    result.proxy_address = result.proxy->wait_for("listening");
    result.proxy_control = result.proxy->wait_for("control");
    return result;
}

void fleet::read_addresses(server& of) const
{
    of.address = of.process->wait_for("listening");
    if (this->setup.standin_tls.empty())
        return;
    of.secured = of.address;
    of.address = of.process->wait_for("control");
}

void fleet::start_standins()
{
    this->log_server = this->start_server(
        "standin-log", this->setup.log_arguments, this->setup.proxies);
    this->store = this->start_server(
        "standin-weight-store",
        {"--slots",
         std::to_string(this->setup.store_slots),
         "--loads-per-second",
         std::to_string(this->setup.store_loads_per_second),
         "--mib-per-second",
         std::to_string(this->setup.store_mib_per_second)},
        false);
    this->vm_list = this->start_server("standin-vm-list", {}, false);
    for (const engine_setup& engine : this->setup.engines)
    {
        this->engines.push_back(this->start_server(
            "standin-engine",
            this->engine_arguments(engine),
            this->setup.proxies));
    }
    for (std::size_t i = 0; i < this->setup.services; ++i)
    {
        this->services.push_back(this->start_server(
            "standin-service",
            {"--name", "s" + std::to_string(i + 1)},
            this->setup.proxies));
    }
    this->list_vms();
}

std::vector<std::string>
fleet::engine_arguments(const engine_setup& engine) const
{
    std::vector<std::string> args{
        "--name",
        engine.name,
        "--memory-mib",
        std::to_string(engine.memory_mib),
        "--fencing",
        engine.checks_fencing ? "check" : "ignore",
        "--weight-store",
        this->store.address,
        "--token-ms",
        "1"};
    args.insert(args.end(), engine.extra.begin(), engine.extra.end());
    return args;
}

void fleet::list_vms()
{
    json::array put;
    for (std::size_t i = 0; i < this->engines.size(); ++i)
    {
        put.push_back(vm_object(
            "vm-" + this->setup.engines[i].name,
            this->engines[i].reached_at(),
            "backend"));
    }
    for (const router_process& router : this->router_processes)
        put.push_back(vm_object(router.name, router.address, "router"));
    control(
        this->vm_list.address,
        json::serialize(json::object{{"put", std::move(put)}}));
}

std::string fleet::settings_text(const router_process& target) const
{
    std::ostringstream out;
    out << "[router]\nname = " << target.name << "\ndata_centre = dc-a\n"
        << "listen = 127.0.0.1:0\ndrain_limit_ms = "
        << this->setup.drain_limit_ms
        << "\nmemory_mb = " << this->setup.memory_mb << "\n"
        << "[peers]\nlisten = 127.0.0.1:0\n"
        << "[log]\naddress = " << this->log_server.reached_at()
        << "\npoll_wait_ms = 200\n"
        << "checkpoint_records = " << this->setup.checkpoint_records << "\n"
        << "[vm_list]\naddress = " << this->vm_list.reached_at()
        << "\npoll_ms = 200\n"
        << "[engines]\npoll_ms = 100\n"
        << this->setup.router_settings;
    return out.str();
}

void fleet::launch(router_process& target, std::size_t index)
{
    const auto settings = this->folder / (target.name + ".ini");
    std::ofstream(settings) << this->settings_text(target);
    const auto log =
        this->folder / ("router-" + std::to_string(index) + ".log");
    target.process = std::make_unique<child_process>(
        "roseworks-router",
        std::vector<std::string>{"--config", settings.string()},
        log.string());
    std::string address = target.process->wait_for("listening");
    if (address.starts_with("http "))
        address.erase(0, 5);
    target.address = address;
}

std::size_t fleet::start_router()
{
    const std::size_t index = this->router_processes.size();
    router_process added;
    added.name = "r" + std::to_string(index + 1);
    this->router_processes.push_back(std::move(added));
    this->launch(this->router_processes.back(), index);
    this->list_vms();
    return index;
}

void fleet::restart_router(std::size_t index)
{
    this->router_processes[index].process.reset();
    this->launch(this->router_processes[index], index);
    this->list_vms();
}

void fleet::restart_engine(std::size_t index)
{
    server& target = this->engines.at(index);
    auto args = this->engine_arguments(this->setup.engines.at(index));
    const bool secure = !target.secured.empty();
    args.insert(
        args.end(), {"--listen", secure ? target.secured : target.address});
    args.insert(
        args.end(),
        this->setup.standin_tls.begin(),
        this->setup.standin_tls.end());
    target.process.reset();
    target.process =
        std::make_unique<child_process>("standin-engine", std::move(args));
    this->read_addresses(target);
}

std::string fleet::backend_records() const
{
    std::ostringstream out;
    for (std::size_t i = 0; i < this->engines.size(); ++i)
    {
        const engine_setup& engine = this->setup.engines[i];
        out << "[engine " << engine.name
            << "]\naddress = " << this->engines[i].reached_at() << "\nvm = vm-"
            << engine.name
            << "\ndata_centre = dc-a\nmemory_mib = " << engine.memory_mib
            << "\naccelerators = 1\nfencing = "
            << (engine.checks_fencing ? "checks" : "ignores") << "\n";
    }
    for (std::size_t i = 0; i < this->services.size(); ++i)
    {
        out << "[service s" << i + 1
            << "]\nbackends = " << this->services[i].reached_at() << " vm-s"
            << i + 1 << " dc-a\nrepeatable = no\n";
    }
    return out.str();
}

std::string fleet::live_router_addresses() const
{
    std::string list;
    for (const router_process& router : this->router_processes)
    {
        if (!router.process || !router.process->running())
            continue;
        if (!list.empty())
            list += ",";
        list += router.address;
    }
    return list;
}

program_result
fleet::apply(const std::string& text, const std::string& author) const
{
    return this->run_apply(
        text, author, {"--wait-routers", this->live_router_addresses()});
}

program_result
fleet::publish(const std::string& text, const std::string& author) const
{
    return this->run_apply(text, author, {});
}

program_result fleet::run_apply(
    const std::string& text,
    const std::string& author,
    const std::vector<std::string>& further) const
{
    const auto file = this->folder / (author + ".ini");
    std::ofstream(file) << "[deployment]\nschema = 2\n"
                        << this->backend_records() << text;
    std::vector<std::string> arguments{
        "apply",
        file.string(),
        "--log",
        this->log_server.address,
        "--author",
        author};
    arguments.insert(arguments.end(), further.begin(), further.end());
    return run_program("roseworksctl", arguments);
}

child_process& fleet::router(std::size_t index)
{
    return *this->router_processes.at(index).process;
}

const std::string& fleet::router_address(std::size_t index) const
{
    return this->router_processes.at(index).address;
}

std::size_t fleet::routers() const
{
    return this->router_processes.size();
}

std::size_t fleet::engines_count() const
{
    return this->engines.size();
}

const std::string& fleet::log_address() const
{
    return this->log_server.address;
}

const std::string& fleet::store_address() const
{
    return this->store.address;
}

const std::string& fleet::vm_list_address() const
{
    return this->vm_list.address;
}

const std::string& fleet::engine_address(std::size_t index) const
{
    return this->engines.at(index).address;
}

const std::string& fleet::service_address(std::size_t index) const
{
    return this->services.at(index).address;
}

child_process& fleet::engine(std::size_t index)
{
    return *this->engines.at(index).process;
}

child_process& fleet::log()
{
    return *this->log_server.process;
}

const std::string& fleet::log_proxy() const
{
    return this->log_server.proxy_control;
}

const std::string& fleet::engine_proxy(std::size_t index) const
{
    return this->engines.at(index).proxy_control;
}

const std::string& fleet::service_proxy(std::size_t index) const
{
    return this->services.at(index).proxy_control;
}

std::string fleet::router_log(std::size_t index) const
{
    return file_text(
        this->folder / ("router-" + std::to_string(index) + ".log"));
}

bool fleet::wait_ready()
{
    for (const router_process& router : this->router_processes)
    {
        const bool ready = eventually(
            [&]
            {
                http_call call;
                call.target = "/readyz";
                return send(router.address, call).status == 200;
            });
        if (!ready)
            return false;
    }
    return true;
}

program_result fleet::verify() const
{
    return run_program(
        "roseworks-audit", {"--log", this->log_server.address, "--verify"});
}

} // namespace roseworks::test
